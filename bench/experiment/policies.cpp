#include "policies.h"

#include "baselinepolicy.h"

#include <memory>

namespace Marjoramfold
{
namespace
{
auto makeBaseline(BaselineKind kind) -> PolicyFactory
{
    return [kind](const Scenario &) -> SchedulingPolicy {
        auto policy = std::make_shared<BaselinePolicy>(kind);
        return [policy](const SchedulerEvent &event, SteadyTime now) {
            return policy->handle(event, now);
        };
    };
}
} // namespace

auto policyNames() -> const std::vector<std::string> &
{
    static const std::vector<std::string> Names{"first-fit", "first-fit-skip", "partition"};
    return Names;
}

auto policyFactory(std::string_view name) -> std::optional<PolicyFactory>
{
    if (name == "first-fit") {
        return makeBaseline(BaselineKind::FirstFit);
    }
    if (name == "first-fit-skip") {
        return makeBaseline(BaselineKind::FirstFitSkip);
    }
    if (name == "partition") {
        return makeBaseline(BaselineKind::Partition);
    }
    return std::nullopt;
}
} // namespace Marjoramfold
