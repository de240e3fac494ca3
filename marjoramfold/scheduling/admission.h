#pragma once

#include "marjoramfold/scheduling/schedulerstate.h"

#include <optional>
#include <string>

namespace Marjoramfold
{
/// Why a job cannot run now or ever.
struct JobOutcome {
    JobState state_ = JobState::Parked;
    std::string reason_;
    std::optional<RuleLine> rule_;
};

/// Recognizes jobs that can never run, so that they are answered at once instead of waiting for ever.
class Admission
{
public:
    explicit Admission(const SchedulerState &state);

    /// Why the job can never run under the present rules and worker shapes, or nothing.
    [[nodiscard]] auto check(const JobRecord &job) const -> std::optional<JobOutcome>;

    /// Whether the job names the availability zone as allowed.
    [[nodiscard]] static auto allowsZone(const JobSpec &spec, const AvailabilityZoneId &zone) -> bool;

    /// Whether the gang would fit on the empty workers of an availability zone of this scheduler.
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
