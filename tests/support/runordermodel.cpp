#include "tests/support/runordermodel.h"

#include "tests/support/simulatedfleet.h"

#include <algorithm>
#include <numeric>

namespace Marjoramfold::Test
{
namespace
{
using std::chrono::milliseconds;

constexpr milliseconds Latency{4};
constexpr milliseconds StoreDelay{10};
constexpr milliseconds TickInterval{100};
constexpr milliseconds ReportPollInterval{50};
constexpr milliseconds FirstClock{100'000};
constexpr std::uint64_t FirstIncarnation = 1'000'000;
/// Time without disturbances in which the job must complete.
constexpr milliseconds CompletionTime{60'000};
const JobId TheJob("00000000000000a1");

/// What may happen to a call.
enum class CallFate {
    Normal,
    ResponseLost,
    ExecutedLate,
    ExecutedMuchLater,
    ExecutedByNextLife,
    ExecutedLaterInNextLife,
    ResponseSlow,
    Count,
};
} // namespace

RunOrderModel::RunOrderModel(RunOrderSettings settings, std::function<unsigned(unsigned)> choose)
    : settings_(std::move(settings))
    , choose_(std::move(choose))
    , submission_(makeSubmission(TheJob.value(), "urgent", settings_.tasks_, WholeWorkerTask))
{
    BootClock::useSource([this] {
        return BootTime(now_);
    });
    QueueConfig queue;
    queue.name_ = "urgent";
    queue.pool_ = "pool";
    queue.maxAttempts_ = 3;
    queue.stretch_ = 1.5;
    config_ = OperatorConfig(1, {queue}, {{"pool", false, false}}, {{TeamId("team"), {"key"}, 8}});
    submission_.acceptedAt_ = now_;
    submission_.plan_.steps_[0].estimate_ = settings_.work_;
    for (const auto *name : {"w1", "w2"}) {
        WorkerEntry entry;
        entry.id_ = WorkerId(name);
        entry.address_ = "address";
        entry.pool_ = "pool";
        entry.zone_ = AvailabilityZoneId("zone");
        entry.rack_ = RackId("rack");
        entry.capacity_ = WholeWorkerTask;
        entry.incarnation_ = FirstIncarnation;
        auto &site = sites_.emplace(entry.id_, ContractWorker(entry, now_, FirstClock, sites_.empty() ? 0.98 : 1.0)).first->second;
        site.entry_ = site.worker_.entry(now_);
    }
}

RunOrderModel::~RunOrderModel()
{
    for (const auto &leader : leaders_) {
        leader->scheduler_->shutDown();
    }
    BootClock::useSource({});
}

auto RunOrderModel::violations() const -> const std::vector<RuleViolation> &
{
    return violations_;
}

auto RunOrderModel::history() const -> std::string
{
    return std::accumulate(history_.begin(), history_.end(), std::string());
}

auto RunOrderModel::at(milliseconds time, std::function<void()> step) -> void
{
    steps_.emplace(time, std::move(step));
}

auto RunOrderModel::after(milliseconds pause, std::function<void()> step) -> void
{
    at(now_ + pause, std::move(step));
}

auto RunOrderModel::note(const std::string &text) -> void
{
    history_.push_back("  " + std::to_string((now_ - submission_.acceptedAt_).count()) + " ms: " + text + "\n");
}

auto RunOrderModel::violate(const std::string &text, bool stray) -> void
{
    note("BROKEN: " + text);
    violations_.push_back({text, stray});
}

auto RunOrderModel::play() -> void
{
    for (const auto time : settings_.disturbedAt_) {
        after(time, [this] {
            disturbWorld();
        });
    }
    startLeader(now_);
    const auto start = now_;
    while (!isOver()) {
        if (now_ - std::max(start, disturbedUntil_) > CompletionTime) {
            violate("the job does not complete", false);
            return;
        }
        auto step = steps_.extract(steps_.begin());
        now_ = std::max(now_, step.key());
        for (auto &[id, site] : sites_) {
            site.worker_.settle(now_);
        }
        step.mapped()();
    }
}

auto RunOrderModel::isOver() const -> bool
{
    return phase_ == JobPhase::Completed && callsInFlight_ == 0 && now_ > disturbedUntil_ && std::all_of(sites_.begin(), sites_.end(), [](const auto &site) {
               return site.second.worker_.runs().empty();
           });
}

auto RunOrderModel::startLeader(milliseconds previousRenewalsUntil) -> void
{
    disturbedUntil_ = std::max(disturbedUntil_, now_);
    succession_ = false;
    auto leader = std::make_shared<Leader>();
    leader->epoch_ = leaders_.size() + 1;
    if (leader->epoch_ > 1) {
        note("leader " + std::to_string(leader->epoch_) + " begins");
    }
    leaders_.push_back(leader);
    leader->scheduler_ =
        std::make_unique<FleetScheduler>(settings_.options_, leader->epoch_, makeCalls(leader), makeHooks(leader), [this, leader = std::weak_ptr(leader)] {
            if (const auto former = leader.lock(); former != leaders_.back()) {
                former->scheduler_->shutDown();
                return;
            }
            violate("the only leader lost its leadership", false);
        });
    for (const auto &[id, site] : sites_) {
        if (site.entry_) {
            leader->scheduler_->updateWorker(*site.entry_);
        }
    }
    leader->scheduler_->addJob(submission_, phase_);
    for (const auto &[key, value] : progress_) {
        leader->scheduler_->restoreProgress(key, value, progressOffsets_.at(key));
    }
    const BootTime formerUntil(previousRenewalsUntil);
    leader->scheduler_->startScheduling({formerUntil, formerUntil, statement_, BootTime(statedAt_)});
    tick(leader);
}

auto RunOrderModel::storeStatement() -> void
{
    auto &leader = *leaders_.back();
    if (succession_ || !leader.storeReachable_) {
        return;
    }
    statement_ = std::make_shared<const LeaseStatement>(leader.scheduler_->stateLeases(progressEnd_));
    statedAt_ = now_;
    leader.scheduler_->onStatementConfirmed(*statement_);
}

auto RunOrderModel::tick(const std::weak_ptr<Leader> &leader) -> void
{
    if (const auto current = leader.lock(); current) {
        current->scheduler_->tick();
        if (current == leaders_.back()) {
            storeStatement();
        }
    }
    after(TickInterval, [this, leader] {
        tick(leader);
    });
}

auto RunOrderModel::makeHooks(const std::weak_ptr<Leader> &leader) -> SchedulerHooks
{
    SchedulerHooks hooks;
    hooks.storeProgress_ = [this, leader](std::vector<KeyedRecord> records, const std::function<void(bool)> &callback) {
        after(StoreDelay, [this, leader, records = std::move(records), callback] {
            const auto writer = leader.lock();
            if (!writer->storeReachable_) {
                return;
            }
            if (writer != leaders_.back()) {
                callback(false);
                return;
            }
            for (const auto &record : records) {
                progress_[record.key_] = record.value_.value_or("");
                progressOffsets_[record.key_] = progressEnd_++;
            }
            callback(true);
        });
    };
    hooks.publishPhases_ = [this, leader](const std::vector<std::pair<JobId, JobPhase>> &phases) {
        const auto writer = leader.lock();
        if (writer->storeReachable_ && writer == leaders_.back()) {
            phase_ = phases.back().second;
        }
    };
    hooks.config_ = [this]() -> const OperatorConfig & {
        return config_;
    };
    hooks.evacuatedZones_ = [this]() -> const std::unordered_set<std::string> & {
        return evacuatedZones_;
    };
    hooks.wallNow_ = [this] {
        return now_;
    };
    hooks.schedule_ = [this](milliseconds pause, std::function<void()> step) {
        after(pause, std::move(step));
    };
    return hooks;
}

auto RunOrderModel::makeCalls(const std::weak_ptr<Leader> &leader) -> WorkerCalls
{
    const auto makeCall = [this, leader](const std::string &name, const WorkerId &worker, std::uint64_t token, Callback callback) {
        const auto text = "leader " + std::to_string(leader.lock()->epoch_) + " " + name + " " + worker.value() + " token " + std::to_string(token & 0xfffffU);
        return std::make_shared<Call>(Call{text, leader, worker, sites_.at(worker).worker_.life(), false, false, Latency, std::move(callback)});
    };
    const auto timeout = settings_.options_.commandTimeout_;
    WorkerCalls calls;
    calls.start_ = [this, makeCall, timeout](const StartCommand &command, Callback callback) {
        const auto call = makeCall(
            "start " + std::to_string(command.task_.index_) + "/" + std::to_string(command.run_), command.worker_, command.fencingToken_, std::move(callback));
        send(call, timeout, [this, call, command](Site &site, bool stray) {
            onStart(call, command, site, stray);
        });
    };
    calls.stop_ = [this, makeCall, timeout](const StopCommand &command, Callback callback) {
        const auto call = makeCall(
            "stop " + std::to_string(command.task_.index_) + "/" + std::to_string(command.run_), command.worker_, command.fencingToken_, std::move(callback));
        send(call, timeout, [this, call, command](Site &site, bool /*stray*/) {
            respond(call, site.worker_.stop(command, now_));
        });
    };
    calls.renew_ = [this, makeCall, timeout](const RenewCommand &command, Callback callback) {
        const auto call =
            makeCall("hold, acknowledging " + std::to_string(command.acknowledged_) + ",", command.worker_, command.fencingToken_, std::move(callback));
        send(call, timeout + command.wait_, [this, call, command](Site &site, bool stray) {
            const auto [response, acknowledged] = site.worker_.renew(command, now_);
            for (const auto &end : acknowledged) {
                onAcknowledged(end, stray);
            }
            if (response.outcome_ == CommandOutcome::Accepted) {
                reportWhenDue(call, site.worker_.life(), now_ + command.wait_);
            } else {
                respond(call, response);
            }
        });
    };
    return calls;
}

auto RunOrderModel::send(const CallPointer &call, milliseconds timeout, std::function<void(Site &, bool)> execute) -> void
{
    constexpr milliseconds Late{900};
    constexpr milliseconds MuchLater{2500};
    constexpr milliseconds SlowResponse{400};
    constexpr std::array Names{
        "", "response lost", "executed late", "executed much later", "executed by next life", "executed later in next life", "response slow"};
    auto &site = sites_.at(call->worker_);
    const auto mayBeDisturbed = now_ - submission_.acceptedAt_ < settings_.callsDisturbedUntil_;
    const auto fate = mayBeDisturbed ? static_cast<CallFate>(choose_(static_cast<unsigned>(CallFate::Count))) : CallFate::Normal;
    if (fate != CallFate::Normal) {
        disturbedUntil_ = std::max(disturbedUntil_, now_);
    }
    note(call->name_ + (fate == CallFate::Normal ? "" : std::string(": ") + Names.at(static_cast<std::size_t>(fate))));
    after(timeout, [call] {
        if (!std::exchange(call->answered_, true)) {
            call->callback_({CommandOutcome::Unknown, "timeout", 0, milliseconds(0), {}});
        }
    });
    const auto leader = call->leader_.lock();
    if (leader->epoch_ == site.cutLeader_ && now_ < site.requestsCutUntil_) {
        return;
    }
    const auto executeNow = [this, call, &site, execute = std::move(execute)] {
        const auto lost = call->responseLost_;
        const auto stray = lost && site.worker_.life() != call->lifeAtSend_;
        if (lost) {
            note("executed now: " + call->name_ + (stray ? " (by another life)" : ""));
        }
        execute(site, stray);
    };
    const auto executeAfter = [this, executeNow](milliseconds pause) {
        ++callsInFlight_;
        after(pause, [this, executeNow] {
            --callsInFlight_;
            executeNow();
        });
    };
    call->responseLost_ = fate != CallFate::Normal && fate != CallFate::ResponseSlow;
    call->responseDelay_ = fate == CallFate::ResponseSlow ? SlowResponse : Latency;
    switch (fate) {
    case CallFate::ExecutedLate:
        executeAfter(Late);
        return;
    case CallFate::ExecutedMuchLater:
        executeAfter(MuchLater);
        return;
    case CallFate::ExecutedByNextLife:
        site.nextLife_.push_back([executeAfter] {
            executeAfter(Latency);
        });
        return;
    case CallFate::ExecutedLaterInNextLife:
        site.nextLife_.push_back([executeAfter, Late] {
            executeAfter(Late);
        });
        return;
    default:
        executeAfter(Latency);
    }
}

auto RunOrderModel::respond(const CallPointer &call, const CommandResponse &response) -> void
{
    const auto &site = sites_.at(call->worker_);
    const auto leader = call->leader_.lock();
    if (call->responseLost_ || (leader->epoch_ == site.cutLeader_ && now_ < site.responsesCutUntil_)) {
        return;
    }
    after(call->responseDelay_, [call, response] {
        if (!std::exchange(call->answered_, true)) {
            call->callback_(response);
        }
    });
}

auto RunOrderModel::reportWhenDue(const CallPointer &call, unsigned life, milliseconds until) -> void
{
    const auto &worker = sites_.at(call->worker_).worker_;
    if (worker.life() != life) {
        // The worker crashed while the call waited.
        respond(call, {CommandOutcome::Unknown, "connection reset", 0, milliseconds(0), {}});
        return;
    }
    if (now_ >= until || worker.hasEnds()) {
        respond(call, worker.report(now_));
        return;
    }
    after(std::min(ReportPollInterval, until - now_), [this, call, life, until] {
        reportWhenDue(call, life, until);
    });
}

auto RunOrderModel::onStart(const CallPointer &call, const StartCommand &command, Site &site, bool stray) -> void
{
    const auto runsBefore = site.worker_.runs().size();
    const auto response = site.worker_.start(command, now_, settings_.work_, stray);
    if (site.worker_.runs().size() > runsBefore) {
        note("started " + std::to_string(command.task_.index_) + "/" + std::to_string(command.run_) + " on " + command.worker_.value());
        if (const auto done = done_.find(command.task_); done != done_.end()) {
            violate("a task starts after its acknowledged end", stray || done->second);
        }
        starts_[command.task_].emplace_back(now_, stray);
        checkRuns();
    }
    respond(call, response);
}

auto RunOrderModel::onAcknowledged(const ContractWorker::DoneEnd &end, bool stray) -> void
{
    const auto strayEnd = stray || end.stray_;
    done_[end.task_] = done_[end.task_] || strayEnd;
    for (const auto &[startedAt, strayStart] : starts_[end.task_]) {
        if (startedAt > end.endedAt_) {
            violate("the end of a task is acknowledged that has started again since", strayEnd || strayStart);
        }
    }
}

auto RunOrderModel::checkRuns() -> void
{
    std::map<TaskRef, std::vector<const ContractWorker::Run *>> running;
    for (const auto &[id, site] : sites_) {
        auto stray = false;
        for (const auto &[key, run] : site.worker_.runs()) {
            running[key.first].push_back(&run);
            stray = stray || run.stray_;
        }
        if (site.worker_.runs().size() > 1) {
            violate("a worker exceeds its capacity", stray);
        }
    }
    for (const auto &[task, runs] : running) {
        if (runs.size() > 1) {
            violate("two runs of a task", std::any_of(runs.begin(), runs.end(), [](const auto *run) {
                        return run->stray_;
                    }));
        }
    }
}
} // namespace Marjoramfold::Test
