#pragma once

#include "marjoramfold/node/leaderruntime.h"
#include "tests/support/feedfollower.h"
#include "tests/support/simulatedfleet.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Marjoramfold::Test
{
inline const JobId FirstJob("00000000000000a1");
inline const TaskRef FirstTask{FirstJob, 0, 0, 0};
inline const StreamId WorkerStream{"keyed.workers", 0};

/// A worker whose clock is the simulated time and whose runs end only with their lease or by a stop command.
struct LeasedWorker {
    std::uint64_t token_ = 0;
    std::chrono::milliseconds leaseUntil_{0};
    std::map<TaskRef, std::uint32_t> runs_;
    std::vector<ReportedRunEnd> ends_;
};

/// Two workers and a store, shared by the leaders of a test, on a simulated clock.
struct Site {
    Site()
    {
        BootClock::useSource([this] {
            return BootTime(now_);
        });
        QueueConfig batch;
        batch.name_ = "batch";
        batch.pool_ = "pool";
        batch.maxAttempts_ = 3;
        batch.stretch_ = 3;
        config_ = OperatorConfig(1, {batch}, {{"pool", false, false}}, {{TeamId("team"), {"key"}, 8}});
    }

    ~Site()
    {
        BootClock::useSource({});
    }

    Site(const Site &) = delete;
    auto operator=(const Site &) -> Site & = delete;

    /// Writes a worker's entry: its clock and its address.
    auto list(const std::string &worker) -> void
    {
        workers_[worker];
        store_.put(WorkerStream.topic_, {worker, std::to_string(now_.count()) + ' ' + worker});
    }

    /// Writes an entry with another start time, as of an incarnation that does not exist.
    auto listFalsely(const std::string &worker) -> void
    {
        store_.put(WorkerStream.topic_, {worker, std::to_string(now_.count()) + " nowhere"});
    }

    auto advance(std::chrono::milliseconds duration) -> void
    {
        constexpr std::chrono::milliseconds Step{10};
        for (const auto end = now_ + duration; now_ < end;) {
            now_ += Step;
            schedule_.advance(Step);
            std::size_t running = 0;
            for (auto &[id, worker] : workers_) {
                if (now_ > worker.leaseUntil_) {
                    worker.runs_.clear();
                }
                running += worker.runs_.count(FirstTask);
            }
            mostRuns_ = std::max(mostRuns_, running);
        }
    }

    [[nodiscard]] auto isRunningOn(const std::string &worker) const -> bool
    {
        return workers_.at(worker).runs_.contains(FirstTask);
    }

    /// Appends a claim that names the current leader; returns the epoch.
    auto claim(const std::string &instance, std::uint64_t process, std::uint64_t after) -> std::uint64_t
    {
        return store_.put(feedStream().topic_, JobFeed::leadershipRecord({LeadershipAction::Claim, after, instance, process, 1})) + 1;
    }

    std::chrono::milliseconds now_{1'000'000};
    ScriptedStore store_;
    ManualSchedule schedule_;
    OperatorConfig config_;
    std::unordered_set<std::string> evacuatedZones_;
    DispatchOptions dispatch_;
    std::map<std::string, LeasedWorker> workers_;
    /// Largest number of runs of the first task at the same time.
    std::size_t mostRuns_ = 0;
};

/// An instance that leads when the test says so, with its own connections to the store and to the workers.
class Leader
{
public:
    Leader(Site &site, std::string name, std::uint64_t process)
        : site_(site)
        , name_(std::move(name))
        , process_(process)
        , follower_(makeFeedFollower(site.store_, site.schedule_, feed_))
    {
        dispatch_ = site.dispatch_;
        feed_.setListeners({[this](const Submission &submission) {
                                if (runtime_) {
                                    runtime_->onSubmitted(submission);
                                }
                            },
                            [this](const JobId &id) {
                                if (runtime_) {
                                    runtime_->onCancelled(id);
                                }
                            },
                            {},
                            {},
                            {},
                            {}});
    }

    ~Leader()
    {
        stop();
        follower_->stop();
    }

    Leader(const Leader &) = delete;
    auto operator=(const Leader &) -> Leader & = delete;

    /// Loads the feed and follows it.
    auto follow() -> void
    {
        follower_->start();
    }

    /// Claims the leadership and leads.
    auto lead() -> void
    {
        leadAs(site_.claim(name_, process_, feed_.leader().epoch_));
    }

    auto leadAs(std::uint64_t epoch) -> void
    {
        LeaderContext context;
        context.binding_.store_ = site_.store_.store();
        context.binding_.store_.append_ = [this, append = context.binding_.store_.append_](const AppendRequest &request, const auto &callback) {
            if (appendsHeld_) {
                heldAppends_.push_back([append, request, callback] {
                    append(request, callback);
                });
            } else if (appendsRefused_ || (renewalsRefused_ && request.stream_.topic_ == feedStream().topic_)
                       || (request.records_.empty() && announcementsRefused_)) {
                callback(AppendRefused{"busy"});
            } else {
                append(request, callback);
            }
        };
        context.binding_.workers_ = makeCalls();
        context.binding_.workerStream_ = WorkerStream;
        context.binding_.decodeWorkerEntry_ = [](const std::string &key, const std::string &value) -> Result<WorkerEntry> {
            WorkerEntry entry;
            entry.id_ = WorkerId(key);
            const auto space = value.find(' ');
            entry.address_ = value.substr(space + 1);
            entry.pool_ = "pool";
            entry.zone_ = AvailabilityZoneId("zone-1");
            entry.rack_ = RackId("rack");
            entry.capacity_ = {128'000, 524'288, 8};
            entry.incarnation_ = entry.address_ == key ? 1 : 2;
            entry.clock_ = std::chrono::milliseconds(std::stoll(value.substr(0, space)));
            return entry;
        };
        context.dispatch_ = dispatch_;
        context.instance_ = name_;
        context.process_ = process_;
        context.config_ = [this]() -> const OperatorConfig & {
            return site_.config_;
        };
        context.evacuatedZones_ = [this]() -> const std::unordered_set<std::string> & {
            return site_.evacuatedZones_;
        };
        context.wallNow_ = [this] {
            return site_.now_;
        };
        context.schedule_ = site_.schedule_.hook();
        const auto stepDown = [this] {
            site_.schedule_.hook()(std::chrono::milliseconds(0), [this] {
                stop();
            });
        };
        context.fenced_ = stepDown;
        context.leadershipExpired_ = stepDown;
        runtime_ = std::make_shared<LeaderRuntime>(std::move(context), epoch, feed_);
        runtime_->start();
    }

    auto stop() -> void
    {
        if (runtime_) {
            runtime_->stop();
            runtime_.reset();
        }
    }

    auto resign() -> void
    {
        runtime_->resign([this] {
            stop();
        });
    }

    [[nodiscard]] auto leads() const -> bool
    {
        return runtime_ != nullptr;
    }

    /// Lets the store execute the appends that were held back.
    auto releaseAppends() -> void
    {
        appendsHeld_ = false;
        for (const auto &append : std::exchange(heldAppends_, {})) {
            append();
        }
    }

    DispatchOptions dispatch_;
    /// The store delays all appends of this instance.
    bool appendsHeld_ = false;
    /// The store refuses all appends of this instance.
    bool appendsRefused_ = false;
    bool announcementsRefused_ = false;
    /// The store refuses the records of this instance in the feed, but not its progress.
    bool renewalsRefused_ = false;
    /// Workers that this instance cannot reach.
    std::set<std::string> unreachable_;
    /// Workers whose answers do not arrive here.
    std::set<std::string> answersLost_;

private:
    /// Executes a command after a delay, or lets it time out.
    template<typename Command>
    auto execute(const Command &command, const std::function<void(CommandResponse)> &callback, std::function<void(LeasedWorker &, CommandResponse &)> effect)
        -> void
    {
        constexpr std::chrono::milliseconds CommandTimeout{600};
        constexpr std::chrono::milliseconds ResponseDelay{10};
        const auto reached = !unreachable_.contains(command.worker_.value()) && command.address_ == command.worker_.value();
        const auto answered = reached && !answersLost_.contains(command.worker_.value());
        if (!answered) {
            site_.schedule_.hook()(CommandTimeout, [callback] {
                callback({CommandOutcome::Unknown, "timeout", 0, {}, {}});
            });
        }
        if (!reached) {
            return;
        }
        site_.schedule_.hook()(ResponseDelay, [this, command, callback, answered, effect = std::move(effect)] {
            auto &worker = site_.workers_[command.worker_.value()];
            CommandResponse response{CommandOutcome::Accepted, "", 0, site_.now_, {}};
            if (command.fencingToken_ < worker.token_) {
                response.outcome_ = CommandOutcome::Fenced;
            } else {
                worker.token_ = command.fencingToken_;
                effect(worker, response);
            }
            if (answered) {
                callback(response);
            }
        });
    }

    auto extendLease(LeasedWorker &worker, std::chrono::milliseconds until) const -> void
    {
        worker.leaseUntil_ = std::max(worker.leaseUntil_, std::min(until, site_.now_ + site_.dispatch_.maxLease_));
    }

    auto makeCalls() -> WorkerCalls
    {
        WorkerCalls calls;
        calls.start_ = [this](const StartCommand &command, const std::function<void(CommandResponse)> &callback) {
            execute(command, callback, [this, command](LeasedWorker &worker, CommandResponse & /*response*/) {
                extendLease(worker, command.leaseUntil_);
                worker.runs_[command.task_] = command.run_;
            });
        };
        calls.stop_ = [this](const StopCommand &command, const std::function<void(CommandResponse)> &callback) {
            execute(command, callback, [command](LeasedWorker &worker, CommandResponse & /*response*/) {
                if (worker.runs_.erase(command.task_) > 0) {
                    worker.ends_.push_back({worker.ends_.size() + 1, command.task_, command.run_, RunOutcome::Stopped, ""});
                }
            });
        };
        calls.renew_ = [this](const RenewCommand &command, const std::function<void(CommandResponse)> &callback) {
            execute(command, callback, [this, command](LeasedWorker &worker, CommandResponse &response) {
                extendLease(worker, command.leaseUntil_);
                response.incarnation_ = 1;
                response.report_ = {1, site_.now_, {}, worker.ends_};
                for (const auto &[task, run] : worker.runs_) {
                    response.report_.running_.push_back({task, run, "", 0});
                }
            });
        };
        return calls;
    }

    Site &site_;
    std::string name_;
    std::uint64_t process_;
    JobFeed feed_;
    std::shared_ptr<StreamFollower> follower_;
    std::shared_ptr<LeaderRuntime> runtime_;
    std::vector<std::function<void()>> heldAppends_;
};
} // namespace Marjoramfold::Test
