#include "marjoramfold/dispatch/delaycost.h"

namespace Marjoramfold
{
namespace
{
/// The delay changes nothing for the caller.
constexpr double Harmless = 1.0;
/// The end misses the objective, or becomes useless, because of the delay. Such a job's work counts twice: once for the work that is lost and once
/// for the end that its caller waits for. A larger factor would stop far more work to save one job's objective.
constexpr double Harmful = 2.0;
/// The end is of no use either way, so that only the room that the rest of the job would take counts.
constexpr double Useless = 0.5;
} // namespace

auto delayWeight(const DelayTerms &terms) -> double
{
    if (terms.expectedEnd_ > terms.lastUseful_) {
        return Useless;
    }
    const auto isLate = terms.expectedEnd_ > terms.objective_;
    const auto limit = isLate ? terms.lastUseful_ : terms.objective_;
    return terms.expectedEndIfDelayed_ > limit ? Harmful : Harmless;
}
} // namespace Marjoramfold
