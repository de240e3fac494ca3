#pragma once

#include <chrono>

namespace Marjoramfold
{
/// When a job is expected to end, and what its caller asked for. Unix times.
struct DelayTerms {
    std::chrono::milliseconds expectedEnd_{0};
    /// Expected end if its runs are stopped now and start again.
    std::chrono::milliseconds expectedEndIfDelayed_{0};
    /// An end until then is in time.
    std::chrono::milliseconds objective_{0};
    /// An end after that is of no use.
    std::chrono::milliseconds lastUseful_{0};
};

/// Factor for the cost of stopping a job's runs for other work, by what the delay costs its caller beside the work that has to be done again.
///
/// Answers the load pattern in which too little room forces stops: a job with time to spare is delayed rather than one that would then miss its objective
/// or its last useful time, and a job that can be of no use any more goes first.
[[nodiscard]] auto delayWeight(const DelayTerms &terms) -> double;
} // namespace Marjoramfold
