#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

#include <optional>
#include <string>

namespace Marjoramfold
{
/// State in which a job leaves the queue, with the reason and the rule that decided.
struct JobOutcome {
    JobState state_ = JobState::Parked;
    std::string reason_;
    std::optional<RuleLine> rule_;
};

/// Detects jobs that can never run, so that they are rejected immediately instead of waiting forever.
class Admission
{
public:
    explicit Admission(const SchedulerState &state);

    /// Parked or failed outcome of a job that cannot run under the current rules and worker shapes; nullopt when admitted.
    [[nodiscard]] auto check(const JobRecord &job) const -> std::optional<JobOutcome>;

    /// An empty list of allowed zones allows every availability zone.
    [[nodiscard]] static auto allowsZone(const JobSpec &spec, const AvailabilityZoneId &zone) -> bool;

    /// Whether the gang fits an availability zone of this scheduler when all its workers are idle.
    [[nodiscard]] auto fitsEmptyZone(const GangShape &shape, ZoneIndex zone) const -> bool;

private:
    [[nodiscard]] auto checkShape(const JobSpec &spec) const -> std::optional<JobOutcome>;
    [[nodiscard]] auto checkQuota(const JobRecord &job) const -> std::optional<JobOutcome>;
    [[nodiscard]] auto checkZones(const JobRecord &job) const -> std::optional<JobOutcome>;
    [[nodiscard]] auto fitsDeclaredZone(const GangShape &shape, const AvailabilityZoneRule &rule) const -> bool;
    [[nodiscard]] auto isFullyKnown(ZoneIndex zone) const -> bool;

    const SchedulerState *state_;
};
} // namespace Marjoramfold
