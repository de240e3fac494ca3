#pragma once

#include "marjoramfold/scheduling/events.h"
#include "marjoramfold/scheduling/scheduleroptions.h"

#include <memory>
#include <vector>

namespace Marjoramfold
{
/// Human-readable explanation of the state of a job.
struct JobExplanation {
    JobState state_ = JobState::Waiting;
    /// Reason for the state, in one sentence.
    std::string reason_;
    /// Change required for the job to run, in one sentence; empty when it runs.
    std::string neededChange_;
    /// Relevant lines of the rules file with their authors.
    std::vector<RuleLine> rules_;
};

/// Capacity and load of an availability zone, used to choose a zone for new jobs.
struct ZoneSummary {
    AvailabilityZoneId zone_;
    int freeAccelerators_ = 0;
    int largestFreeGang_ = 0;
    int waitingJobs_ = 0;
    int runningTasks_ = 0;
};

/// Deterministic scheduler of one or more availability zones. Maps events to commands without I/O.
class Scheduler
{
public:
    /// Places work only in the given availability zones.
    Scheduler(std::vector<AvailabilityZoneId> zones, SchedulerOptions options);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    auto operator=(Scheduler &&) noexcept -> Scheduler &;

    /// Handles one event; the commands must be executed in order.
    [[nodiscard]] auto handle(const SchedulerEvent &event, SteadyTime now) -> std::vector<SchedulerCommand>;

    /// Returns nullopt for an unknown job.
    [[nodiscard]] auto explain(const JobId &job) const -> std::optional<JobExplanation>;

    /// Returns zeros for an availability zone of another scheduler.
    [[nodiscard]] auto summarize(const AvailabilityZoneId &zone) const -> ZoneSummary;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};
} // namespace Marjoramfold
