#include "policies.h"

#include "baselinepolicy.h"
#include "marjoramfold/scheduling/scheduler.h"

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
auto makeMarjoramfold(const SchedulerOptions &options) -> PolicyFactory
{
    return [options](const Scenario &scenario) -> SchedulingPolicy {
        std::vector<AvailabilityZoneId> zones;
        for (const auto &[zone, rule] : scenario.rules_.front().rules_->zones_) {
            zones.push_back(zone);
        }
        auto scheduler = std::make_shared<Scheduler>(std::move(zones), options);
        return [scheduler](const SchedulerEvent &event, SteadyTime now) {
            return scheduler->handle(event, now);
        };
    };
}
} // namespace

auto policyNames() -> const std::vector<std::string> &
{
    static const std::vector<std::string> Names{
        "marjoramfold", "no-backfill", "no-compaction", "declared-estimates", "first-fit", "first-fit-skip", "partition"};
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
    SchedulerOptions options;
    if (name == "marjoramfold") {
        return makeMarjoramfold(options);
    }
    if (name == "no-backfill") {
        options.backfill_ = false;
        return makeMarjoramfold(options);
    }
    if (name == "no-compaction") {
        options.compaction_ = false;
        return makeMarjoramfold(options);
    }
    if (name == "declared-estimates") {
        options.learnedEstimates_ = false;
        return makeMarjoramfold(options);
    }
    return std::nullopt;
}
} // namespace Marjoramfold
