#include "marjoramfold/observability/check.h"

#include "marjoramfold/observability/logline.h"

#include <cstdio>
#include <cstdlib>
#include <string>

namespace Marjoramfold
{
namespace
{
thread_local const JobId *jobAtWork = nullptr;
} // namespace

JobScope::JobScope(const JobId &job)
    : outer_(jobAtWork)
{
    jobAtWork = &job;
}

JobScope::~JobScope()
{
    jobAtWork = outer_;
}

auto check(bool holds, std::string_view condition, const char *file, int line) -> void
{
    if (holds) {
        return;
    }
    const std::string_view path(file);
    LogLine message(LogSeverity::Error, "check_failed");
    if (jobAtWork != nullptr) {
        message.job(jobAtWork->value());
    }
    message.with("condition", condition).with("file", path.substr(path.rfind('/') + 1)).with("line", line);
    std::fprintf(stderr, "%s\n", message.text().c_str());
    std::fflush(stderr);
    std::abort();
}
} // namespace Marjoramfold
