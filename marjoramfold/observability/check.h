#pragma once

#include "marjoramfold/core/ids.h"

#include <string_view>

namespace Marjoramfold
{
/// Names the job that the thread works on while the object lives, so that a failed check can say which job leads to it.
class JobScope
{
public:
    explicit JobScope(const JobId &job);
    ~JobScope();
    JobScope(const JobScope &) = delete;
    auto operator=(const JobScope &) -> JobScope & = delete;

private:
    const JobId *outer_;
};

/// Ends the process, as assert() does, if a condition does not hold that only an error of the program can break.
///
/// Writes a log line `check_failed` to standard error first, at once: lines that are queued for the log are lost with the process. File and line
/// default to those of the caller.
auto check(bool holds, std::string_view condition, const char *file = __builtin_FILE(), int line = __builtin_LINE()) -> void;
} // namespace Marjoramfold
