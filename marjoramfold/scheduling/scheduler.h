#pragma once

#include "marjoramfold/scheduling/events.h"
#include "marjoramfold/scheduling/scheduleroptions.h"

#include <memory>
#include <vector>

namespace Marjoramfold
{
/// What explains the state of a job to a person.
struct JobExplanation {
    JobState state_ = JobState::Waiting;
    /// Why the job is in this state, in one sentence.
    std::string reason_;
    /// What would have to change for it to run, in one sentence; empty when it runs.
    std::string neededChange_;
    /// Lines of the rules file that matter here, with who asked for them.
    std::vector<RuleLine> rules_;
};

/// Free capacity of an availability zone, for the choice of a zone for new jobs.
struct ZoneSummary {
    AvailabilityZoneId zone_;
    int freeAccelerators_ = 0;
    int largestFreeGang_ = 0;
    int waitingJobs_ = 0;
    int runningTasks_ = 0;
};

/// Deterministic scheduler of one or more availability zones: events and a time in, commands out, no I/O.
class Scheduler
{
public:
    /// Creates a scheduler that places work only in the given availability zones.
    Scheduler(std::vector<AvailabilityZoneId> zones, SchedulerOptions options);
    ~Scheduler();
    Scheduler(Scheduler &&) noexcept;
    auto operator=(Scheduler &&) noexcept -> Scheduler &;

    /// Handles one event; commands must be carried out in order.
    [[nodiscard]] auto handle(const SchedulerEvent &event, SteadyTime now) -> std::vector<SchedulerCommand>;

    /// Explains a job, if this scheduler knows it.
    [[nodiscard]] auto explain(const JobId &job) const -> std::optional<JobExplanation>;

    /// Summarizes an availability zone of this scheduler.
    [[nodiscard]] auto summarize(const AvailabilityZoneId &zone) const -> ZoneSummary;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};
} // namespace Marjoramfold
