#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/log/records.h"
#include "marjoramfold/rules/ruleset.h"

#include <map>

namespace Marjoramfold
{
/// Chooses availability zones for jobs from the rules and the jobs in the log. Has no I/O and no clock: times are passed in.
///
/// The free capacity published by zone owners lags by seconds, so a burst of submissions would all go to one zone. The chooser
/// therefore counts the open jobs in the log, and reserves capacity for each choice until the log shows the job there.
class ZoneChooser
{
public:
    /// Sets the rules in force.
    auto setRules(RuleSetPointer rules) -> void;

    /// Sets the jobs in the log; drops the reservations of jobs that the log shows in the reserved zone.
    auto setJobs(const std::map<JobId, JobStatus> &jobs) -> void;

    /// Chooses the best availability zone for a job and reserves capacity there. Errors: RulesNotLoaded; JobCanNeverRun with the
    /// reason when the job does not fit any of its allowed zones even when empty.
    auto choose(const JobSpec &spec, SteadyTime now) -> Result<AvailabilityZoneId>;

    /// Reserves capacity in the best zone with state in, other than the job's own; empty if it lacks the capacity now.
    auto findZoneWithCapacity(const JobSpec &spec, const AvailabilityZoneId &own, SteadyTime now) -> std::optional<AvailabilityZoneId>;

    /// Reserves capacity in the best zone with state in, other than the job's own, whether or not it has the capacity now.
    auto findEvacuationZone(const JobSpec &spec, const AvailabilityZoneId &own, SteadyTime now) -> std::optional<AvailabilityZoneId>;

private:
    struct Reservation {
        std::int64_t demand_ = 0;
        SteadyTime expiresAt_;
    };

    [[nodiscard]] auto score(const JobSpec &spec, const AvailabilityZoneRule &rule, SteadyTime now) const -> std::int64_t;
    [[nodiscard]] auto freeAccelerators(const AvailabilityZoneRule &rule, SteadyTime now) const -> std::int64_t;
    [[nodiscard]] auto fitsWhenEmpty(const JobSpec &spec, const AvailabilityZoneRule &rule) const -> bool;
    [[nodiscard]] auto unusedGuarantee(const TeamId &team, const AvailabilityZoneId &zone) const -> std::int64_t;
    auto bestZone(const JobSpec &spec, const AvailabilityZoneId &excluded, bool onlyIn, SteadyTime now) const -> const AvailabilityZoneRule *;
    auto reserve(const JobSpec &spec, const AvailabilityZoneId &zone, SteadyTime now) -> void;

    RuleSetPointer rules_;
    std::map<AvailabilityZoneId, std::int64_t> load_;
    std::map<AvailabilityZoneId, std::map<TeamId, std::int64_t>> teamLoad_;
    /// Reservations by job, dropped when the log shows the job in the reserved zone.
    std::map<JobId, std::pair<AvailabilityZoneId, Reservation>> reservations_;
};
} // namespace Marjoramfold
