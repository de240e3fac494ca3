#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/log/records.h"
#include "marjoramfold/rules/ruleset.h"

#include <map>

namespace Marjoramfold
{
/// Chooses availability zones for jobs from the rules and from what the log says about all jobs. Pure: times are passed in.
///
/// Free capacity that owners state lags by seconds, so that a burst of submissions would go to one zone. The open jobs in the
/// log are up to date, and a choice counts as a pledge until the log shows it.
class ZoneChooser
{
public:
    /// Takes the rules in force.
    auto setRules(RuleSetPointer rules) -> void;

    /// Takes all jobs of the log.
    auto setJobs(const std::map<JobId, JobStatus> &jobs) -> void;

    /// The best availability zone for a job, with a pledge for it. Errors: RulesNotLoaded; JobCanNeverRun with the reason when the
    /// job fits none of its zones even when they are empty.
    auto choose(const JobSpec &spec, SteadyTime now) -> Result<AvailabilityZoneId>;

    /// A zone that is in, other than the job's own, whose free capacity holds the job now; nothing when there is none.
    auto findZoneWithCapacity(const JobSpec &spec, const AvailabilityZoneId &own, SteadyTime now) -> std::optional<AvailabilityZoneId>;

    /// The best zone that is in, other than the job's own, whether or not it has room now.
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
    /// Pledges by job, so that the log's word replaces them.
    std::map<JobId, std::pair<AvailabilityZoneId, Reservation>> reservations_;
};
} // namespace Marjoramfold
