#include "marjoramfold/core/ids.h"

#include <charconv>

namespace Marjoramfold
{
namespace
{
/// Parses a decimal integer; false when the text holds anything else.
auto parseNumber(std::string_view text, std::uint32_t &number) -> bool
{
    const auto *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return !text.empty() && result.ec == std::errc() && result.ptr == end;
}
} // namespace

auto toString(const TaskId &task) -> std::string
{
    return task.job_.value() + "/" + std::to_string(task.attempt_) + "/" + std::to_string(task.index_);
}

auto parseTaskId(std::string_view text, TaskId &task) -> bool
{
    const auto indexAt = text.rfind('/');
    if (indexAt == std::string_view::npos || indexAt == 0) {
        return false;
    }
    const auto attemptAt = text.rfind('/', indexAt - 1);
    if (attemptAt == std::string_view::npos || attemptAt == 0) {
        return false;
    }
    task.job_ = JobId(std::string(text.substr(0, attemptAt)));
    return parseNumber(text.substr(attemptAt + 1, indexAt - attemptAt - 1), task.attempt_) && parseNumber(text.substr(indexAt + 1), task.index_);
}
} // namespace Marjoramfold
