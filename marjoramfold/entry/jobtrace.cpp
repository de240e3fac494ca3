#include "marjoramfold/entry/jobtrace.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>

namespace Marjoramfold
{
auto traceOfJob(const JobId &job) -> TraceContext
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(job.value().data()), job.value().size(), digest.data());
    TraceContext context;
    std::copy_n(digest.begin(), context.traceId_.size(), context.traceId_.begin());
    std::copy_n(digest.begin() + context.traceId_.size(), context.spanId_.size(), context.spanId_.begin());
    return context;
}
} // namespace Marjoramfold
