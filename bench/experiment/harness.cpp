#include "harness.h"

#include "policymemory.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace Marjoramfold
{
namespace
{
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time until a log record reaches the scheduler.
constexpr milliseconds LogDelay{10};
/// Time until published rules reach the scheduler: the ordinary value of the design target for rule propagation (P9).
constexpr milliseconds RulesDelay{500};
constexpr seconds TickInterval{1};
constexpr seconds SampleInterval{10};

/// One run of a policy: event queue, simulated cluster, violation checker and metrics.
class Harness
{
public:
    Harness(const Scenario &scenario, const PolicyFactory &makePolicy)
        : scenario_(scenario)
        , cluster_(scenario,
                   queue_,
                   [this](SchedulerEvent event) {
                       decide(event);
                   })
        , checker_(scenario, cluster_, queue_)
        , metrics_(scenario, cluster_, queue_)
    {
        cluster_.addObserver(&checker_);
        cluster_.addObserver(&metrics_);
        for (std::size_t i = 0; i < scenario.jobs_.size(); ++i) {
            jobIndex_[scenario.jobs_[i].spec_.id_] = i;
        }
        resetPolicyMemoryPeak();
        memoryBefore_ = policyMemory().bytes_;
        const PolicyMemoryScope scope;
        policy_ = makePolicy(scenario);
    }

    auto run() -> RunResult
    {
        scheduleRules();
        scheduleWorkersAndJobs();
        cluster_.scheduleFaults();
        queue_.schedule(SteadyTime{} + TickInterval, [this] {
            tick();
        });
        while (!done() && queue_.runNext(scenario_.end_)) {}
        cluster_.closeAllAttempts();
        checker_.finish();
        return result();
    }

private:
    auto scheduleRules() -> void
    {
        for (const auto &planned : scenario_.rules_) {
            queue_.schedule(planned.at_, [this, rules = planned.rules_] {
                checker_.rulesInForce(rules);
                metrics_.rulesInForce(rules);
            });
            const auto delay = &planned == &scenario_.rules_.front() ? milliseconds(0) : RulesDelay;
            queue_.schedule(planned.at_ + delay, [this, rules = planned.rules_] {
                decide(RulesChanged{rules});
            });
        }
        for (const auto &[zone, rule] : scenario_.rules_.front().rules_->zones_) {
            queue_.schedule(SteadyTime{}, [this, id = zone] {
                decide(StartGateChanged{id, true});
            });
        }
    }

    auto scheduleWorkersAndJobs() -> void
    {
        for (const auto &worker : scenario_.workers_) {
            queue_.schedule(SteadyTime{}, [this, &worker] {
                decide(WorkerUp{worker});
            });
        }
        for (std::size_t i = 0; i < scenario_.jobs_.size(); ++i) {
            queue_.schedule(scenario_.jobs_[i].submitted_, [this, i] {
                checker_.jobSubmitted(i);
                queue_.after(LogDelay, [this, i] {
                    decide(JobArrived{scenario_.jobs_[i].spec_, LogDelay, 0, milliseconds(0)});
                });
            });
        }
        for (const auto &cancellation : scenario_.cancellations_) {
            queue_.schedule(cancellation.at_, [this, &cancellation] {
                std::vector<std::size_t> jobs;
                for (const auto &id : cancellation.jobs_) {
                    jobs.push_back(jobIndex_.at(id));
                }
                checker_.jobsCancelled(jobs);
                queue_.after(LogDelay, [this, &cancellation] {
                    decide(JobsCancelled{cancellation.jobs_});
                });
            });
        }
    }

    auto tick() -> void
    {
        decide(Tick{});
        checker_.tick();
        if (std::chrono::duration_cast<seconds>(queue_.now() - SteadyTime{}) % SampleInterval == seconds(0)) {
            metrics_.sample(SampleInterval);
            updateDone();
        }
        queue_.after(TickInterval, [this] {
            tick();
        });
    }

    /// Calls the policy with an event, measures the call and sends the commands that it returns.
    auto decide(const SchedulerEvent &event) -> void
    {
        std::vector<SchedulerCommand> commands;
        const auto before = std::chrono::steady_clock::now();
        {
            const PolicyMemoryScope scope;
            commands = policy_(event, queue_.now());
        }
        const auto after = std::chrono::steady_clock::now();
        const auto microseconds = std::chrono::duration<double, std::micro>(after - before).count();
        decisionTimes_.push_back(static_cast<float>(microseconds));
        if (commands.empty()) {
            return;
        }
        const auto places = std::any_of(commands.begin(), commands.end(), [](const auto &command) {
            const auto *task = std::get_if<TaskCommand>(&command);
            return task != nullptr && task->kind_ == TaskCommandKind::Hold;
        });
        if (places) {
            placingTimes_.push_back(microseconds);
        }
        queue_.after(MessageDelay, [this, commands = std::move(commands)] {
            for (const auto &command : commands) {
                std::visit(
                    [this](const auto &concrete) {
                        apply(concrete);
                    },
                    command);
            }
            checker_.decisionApplied();
        });
    }

    auto apply(const TaskCommand &command) -> void
    {
        cluster_.execute(command);
    }
    auto apply(const RenewLeases &command) -> void
    {
        cluster_.execute(command);
    }
    auto apply(const ProbeWorker &command) -> void
    {
        cluster_.execute(command);
    }
    auto apply(const JobStarted & /*record*/) -> void
    {
        ++records_["job_started"];
    }
    auto apply(const JobRequeued & /*record*/) -> void
    {
        ++records_["job_requeued"];
    }
    auto apply(const JobEnded &record) -> void
    {
        const auto normal = scenario_.jobs_[jobIndex_.at(record.job_)].kind_ == PlannedJobKind::Normal;
        if (normal) {
            recordedEnds_[jobIndex_.at(record.job_)] = record;
        }
        ++records_[std::string(normal ? "" : "other_") + "job_ended_" + std::string(toString(record.state_))];
    }
    /// The policy owns all availability zones, so a job that it reassigns returns to it through the log.
    auto apply(const JobReassigned &record) -> void
    {
        ++records_["job_reassigned"];
        queue_.after(LogDelay, [this, record] {
            const auto &job = scenario_.jobs_[jobIndex_.at(record.job_)];
            const auto age = std::chrono::duration_cast<milliseconds>(queue_.now() - job.submitted_);
            decide(JobArrived{job.spec_, age, record.nextAttempt_, record.progress_});
        });
    }

    /// Ends the run when the load has ended and every compared job is finished.
    auto updateDone() -> void
    {
        if (queue_.now() < scenario_.loadEnd_) {
            return;
        }
        for (std::size_t i = 0; i < scenario_.jobs_.size(); ++i) {
            if (scenario_.jobs_[i].kind_ == PlannedJobKind::Normal && !cluster_.jobs()[i].finished_) {
                return;
            }
        }
        done_ = true;
    }

    [[nodiscard]] auto done() const -> bool
    {
        return done_;
    }

    [[nodiscard]] auto recordedEnd(std::size_t job) const -> std::string
    {
        const auto found = recordedEnds_.find(job);
        return found == recordedEnds_.end() ? "" : " recorded=" + std::string(toString(found->second.state_)) + " reason=" + found->second.reason_;
    }

    [[nodiscard]] auto unfinished() const -> std::vector<std::string>
    {
        std::vector<std::string> lines;
        for (std::size_t i = 0; i < scenario_.jobs_.size(); ++i) {
            const auto &job = scenario_.jobs_[i];
            if (job.kind_ == PlannedJobKind::Normal && !cluster_.jobs()[i].finished_) {
                lines.push_back("unfinished job=" + job.spec_.id_.value() + " tasks=" + std::to_string(job.spec_.gangSize_)
                                + " accelerators=" + std::to_string(job.spec_.task_.accelerators_) + " adjacency=" + std::string(toString(job.spec_.adjacency_))
                                + " zones=" + std::to_string(job.spec_.allowedZones_.size())
                                + " submitted_s=" + std::to_string(std::chrono::duration_cast<seconds>(job.submitted_ - SteadyTime{}).count())
                                + " run_s=" + std::to_string(std::chrono::duration_cast<seconds>(job.actualRunTime_).count())
                                + " saved_s=" + std::to_string(std::chrono::duration_cast<seconds>(cluster_.jobs()[i].saved_).count())
                                + " attempts=" + std::to_string(cluster_.jobs()[i].attempts_.size()) + recordedEnd(i));
            }
        }
        return lines;
    }

    auto result() -> RunResult
    {
        constexpr double BytesPerMb = 1'000'000;
        RunResult result;
        result.completion_ = completionTimes(scenario_, cluster_);
        result.fragmentation_ = metrics_.fragmentation();
        result.utilization_ = metrics_.utilization();
        result.meanTasks_ = metrics_.meanTasks();
        result.zoneChangeUsefulWork_ = metrics_.zoneChangeUsefulWork();
        result.violations_ = checker_.violations();
        result.decisions_.all_ = distributionOf(std::vector<double>(decisionTimes_.begin(), decisionTimes_.end()));
        result.decisions_.placing_ = distributionOf(std::move(placingTimes_));
        result.peakMemoryMb_ = static_cast<double>(policyMemory().peakBytes_ - memoryBefore_) / BytesPerMb;
        result.records_ = records_;
        result.unfinished_ = unfinished();
        result.startsBeyondCheckpoint_ = cluster_.startsBeyondCheckpoint();
        result.endedAt_ = std::chrono::duration<double>(queue_.now() - SteadyTime{}).count();
        return result;
    }

    const Scenario &scenario_;
    EventQueue queue_;
    FakeCluster cluster_;
    ViolationChecker checker_;
    ClusterMetrics metrics_;
    SchedulingPolicy policy_;
    std::unordered_map<JobId, std::size_t> jobIndex_;
    std::vector<float> decisionTimes_;
    std::vector<double> placingTimes_;
    std::map<std::string, int> records_;
    /// End states that the policy recorded for compared jobs; used only in the lines about unfinished jobs.
    std::unordered_map<std::size_t, JobEnded> recordedEnds_;
    std::int64_t memoryBefore_ = 0;
    bool done_ = false;
};

/// Rounds to 4 decimal places, for readability; equal values give equal text.
auto rounded(double value) -> double
{
    constexpr double Scale = 10'000;
    return std::round(value * Scale) / Scale;
}

auto toJson(const Distribution &distribution) -> nlohmann::ordered_json
{
    return {{"count", distribution.count_},
            {"mean", rounded(distribution.mean_)},
            {"p50", rounded(distribution.p50_)},
            {"p95", rounded(distribution.p95_)},
            {"p99", rounded(distribution.p99_)},
            {"max", rounded(distribution.max_)}};
}
} // namespace

auto runExperiment(const Scenario &scenario, const PolicyFactory &makePolicy) -> RunResult
{
    return Harness(scenario, makePolicy).run();
}

auto toJson(const Scenario &scenario, const std::string &policy, const RunResult &result) -> nlohmann::ordered_json
{
    const auto &times = result.completion_;
    nlohmann::ordered_json json;
    json["scenario"] = scenario.name_;
    json["policy"] = policy;
    json["seed"] = scenario.seed_;
    json["jobs_finished"] = times.finished_;
    json["completion_mean_s"] = rounded(times.all_.mean_);
    json["completion_p95_s"] = rounded(times.all_.p95_);
    json["completion_p99_s"] = rounded(times.all_.p99_);
    json["large_completion_p99_s"] = rounded(times.large_.p99_);
    json["fragmentation"] = rounded(result.fragmentation_);
    json["zone_change_useful_work"] = rounded(result.zoneChangeUsefulWork_);
    json["urgent_start_max_s"] = rounded(times.urgentStart_.max_);
    json["violations"] = {{"guarantee", result.violations_.count(ViolationKind::Guarantee)},
                          {"partial_gang", result.violations_.count(ViolationKind::PartialGang)},
                          {"start_in_out_zone", result.violations_.count(ViolationKind::StartInOutZone)},
                          {"double_run", result.violations_.count(ViolationKind::DoubleRun)}};
    json["decision_p50_us"] = rounded(result.decisions_.all_.p50_);
    json["decision_p99_us"] = rounded(result.decisions_.all_.p99_);
    json["peak_memory_mb"] = rounded(result.peakMemoryMb_);
    json["details"] = {{"jobs_compared", times.submitted_},
                       {"small", toJson(times.small_)},
                       {"medium", toJson(times.medium_)},
                       {"large", toJson(times.large_)},
                       {"urgent_start", toJson(times.urgentStart_)},
                       {"utilization", rounded(result.utilization_)},
                       {"mean_tasks", rounded(result.meanTasks_)},
                       {"records", result.records_},
                       {"invented_progress", result.startsBeyondCheckpoint_},
                       {"ended_at_s", rounded(result.endedAt_)}};
    json["timing"] = {{"decisions", toJson(result.decisions_.all_)}, {"placing", toJson(result.decisions_.placing_)}};
    return json;
}
} // namespace Marjoramfold
