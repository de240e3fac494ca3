#include "marjoramfold/node/leaderruntime.h"

#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Producer name of all leaders; the store compares their epochs.
constexpr const char *LeaderProducer = "leader";
/// How often a leader shows that it is alive.
constexpr std::chrono::milliseconds RenewInterval{250};
constexpr std::chrono::milliseconds TickInterval{100};
constexpr std::chrono::milliseconds LoadTimeout{900};
constexpr std::chrono::milliseconds LoadRetryPause{100};
/// Pause between reads of the workers' list; entries change every heartbeat, decisions need only state and address.
constexpr std::chrono::milliseconds WorkerListPace{300};
constexpr std::chrono::milliseconds WorkerListWait{1000};
/// How often jobs whose time is over are looked for.
constexpr std::chrono::seconds DropInterval{20};
} // namespace

LeaderRuntime::LeaderRuntime(LeaderContext context, std::uint64_t epoch, JobFeed &feed)
    : context_(std::move(context))
    , epoch_(epoch)
    , feed_(feed)
    , startedAt_(BootClock::now())
    , provenAt_(startedAt_)
{
}

auto LeaderRuntime::scheduler() const -> const FleetScheduler &
{
    return *scheduler_;
}

auto LeaderRuntime::appenderFor(const StreamId &stream) -> std::shared_ptr<OrderedAppender>
{
    AppenderOptions options;
    options.stream_ = stream;
    options.producer_ = LeaderProducer;
    options.epoch_ = epoch_;
    options.refusals_ = RefusalPolicy::Retry;
    return std::make_shared<OrderedAppender>(context_.binding_.store_, context_.schedule_, options);
}

auto LeaderRuntime::start() -> void
{
    const auto weak = weak_from_this();
    // A former leader stops when the store has not confirmed it for a while, and at once when it resigns.
    const auto &former = feed_.predecessor();
    const auto othersRenewedUntil = former.resigned_ ? former.seenAt_ : former.seenAt_ + context_.dispatch_.maxRenewalWithoutStore_;
    scheduler_ = std::make_unique<FleetScheduler>(context_.dispatch_, epoch_, othersRenewedUntil, guardedCalls(), schedulerHooks(), [weak] {
        if (const auto self = weak.lock(); self && !self->stopped_) {
            self->context_.deposed_();
        }
    });
    feedAppender_ = appenderFor(feedStream());
    progressAppender_ = appenderFor(progressStream());
    FollowerOptions options;
    options.stream_ = context_.binding_.workerStream_;
    options.wait_ = WorkerListWait;
    options.pace_ = WorkerListPace;
    workers_ = std::make_shared<StreamFollower>(
        context_.binding_.store_,
        context_.schedule_,
        options,
        [weak](const std::vector<StoredRecord> &records, bool loaded) {
            if (const auto self = weak.lock(); self && !self->stopped_) {
                self->onWorkerRecords(records, loaded);
            }
        },
        [weak] {
            if (const auto self = weak.lock(); self) {
                self->reloadingWorkers_ = true;
                self->listed_.clear();
            }
        });
    workers_->start();
    feedAppender_->announceEpoch({});
    // Once the epoch is set, nothing of a former leader is stored any more, and what is read is complete.
    progressAppender_->announceEpoch([weak](const WriteResult &result) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
            return;
        }
        if (std::holds_alternative<WriteFenced>(result)) {
            self->context_.deposed_();
            return;
        }
        self->loadProgress({});
    });
    renew();
    tick();
}

auto LeaderRuntime::stop() -> void
{
    stopped_ = true;
    scheduler_->shutDown();
    feedAppender_->stop();
    progressAppender_->stop();
    workers_->stop();
}

auto LeaderRuntime::resign(std::function<void()> callback) -> void
{
    scheduler_->shutDown();
    feedAppender_->write({JobFeed::leadershipRecord({LeadershipAct::Resign, epoch_, context_.instance_, context_.process_, 0})},
                         [callback = std::move(callback)](const WriteResult & /*result*/) {
                             callback();
                         });
}

auto LeaderRuntime::loadProgress(const std::string &afterKey) -> void
{
    const auto weak = weak_from_this();
    context_.binding_.store_.newest_({progressStream(), afterKey, LoadTimeout, false}, [weak, afterKey](Result<NewestPage> result) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
            return;
        }
        if (!isOk(result)) {
            LogLine(LogSeverity::Warning, "progress_load_failed").with("reason", toString(errorOf(result)));
            self->context_.schedule_(LoadRetryPause, [weak, afterKey] {
                if (const auto again = weak.lock(); again && !again->stopped_) {
                    again->loadProgress(afterKey);
                }
            });
            return;
        }
        auto page = valueOf(std::move(result));
        const auto last = page.records_.empty() ? std::string() : page.records_.back().record_.key_;
        std::move(page.records_.begin(), page.records_.end(), std::back_inserter(self->progress_));
        if (page.more_ && !last.empty()) {
            self->loadProgress(last);
            return;
        }
        self->progressLoaded_ = true;
        self->beginWhenReady();
    });
}

auto LeaderRuntime::onWorkerRecords(const std::vector<StoredRecord> &records, bool loaded) -> void
{
    for (const auto &record : records) {
        const WorkerId id(record.record_.key_);
        if (!record.record_.value_) {
            listed_.erase(id);
            scheduler_->removeWorker(id);
            continue;
        }
        const auto entry = context_.binding_.decodeWorkerEntry_(record.record_.key_, *record.record_.value_);
        if (!isOk(entry)) {
            LogLine(LogSeverity::Warning, "worker_entry_ignored").with("worker", id.value()).with("reason", errorOf(entry).message_);
            continue;
        }
        listed_[id] = true;
        scheduler_->updateWorker(valueOf(entry));
    }
    if (loaded && reloadingWorkers_) {
        reloadingWorkers_ = false;
        scheduler_->removeWorkersExcept(listed_);
    }
    if (loaded && !workersLoaded_) {
        workersLoaded_ = true;
        beginWhenReady();
    }
}

auto LeaderRuntime::beginWhenReady() -> void
{
    if (begun_ || !progressLoaded_ || !workersLoaded_) {
        return;
    }
    begun_ = true;
    for (const auto &[id, job] : feed_.jobs()) {
        scheduler_->addJob(job.submission_, job.shownPhase());
    }
    for (const auto &record : progress_) {
        if (record.record_.value_) {
            scheduler_->restoreProgress(record.record_.key_, *record.record_.value_);
        }
    }
    LogLine(LogSeverity::Info, "leadership_begun")
        .with("epoch", epoch_)
        .with("jobs", scheduler_->jobs().size())
        .with("progress_records", progress_.size())
        .with("workers", scheduler_->sessions().all().size())
        .with("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - startedAt_).count());
    progress_.clear();
    if (auto claims = feed_.dropClaims(epoch_); !claims.empty()) {
        feedAppender_->write(std::move(claims), {});
    }
    scheduler_->startScheduling();
}

auto LeaderRuntime::onSubmitted(const Submission &submission) -> void
{
    if (begun_) {
        scheduler_->addJob(submission, JobPhase::Queued);
    }
}

auto LeaderRuntime::onCancelled(const JobId &id) -> void
{
    if (begun_) {
        scheduler_->cancelJob(id);
    }
}

auto LeaderRuntime::onForgotten(const JobId &id) -> void
{
    if (begun_) {
        scheduler_->removeJob(id);
    }
}

auto LeaderRuntime::onDirectoryChanged() -> void
{
    if (begun_) {
        scheduler_->requestPass();
    }
}

auto LeaderRuntime::renew() -> void
{
    const auto weak = weak_from_this();
    // One renewal at a time: behind a slow append they would only pile up.
    if (feedAppender_->backlog() == 0) {
        const auto sentAt = BootClock::now();
        feedAppender_->write({JobFeed::leadershipRecord({LeadershipAct::Renew, epoch_, context_.instance_, context_.process_, 0})},
                             [weak, sentAt](const WriteResult &result) {
                                 const auto self = weak.lock();
                                 if (!self || self->stopped_) {
                                     return;
                                 }
                                 if (std::holds_alternative<WriteFenced>(result)) {
                                     self->context_.deposed_();
                                 } else {
                                     self->provenAt_ = sentAt;
                                 }
                             });
    }
    context_.schedule_(RenewInterval, [weak] {
        if (const auto self = weak.lock(); self && !self->stopped_) {
            self->renew();
        }
    });
}

auto LeaderRuntime::provenRecently() const -> bool
{
    return BootClock::now() - provenAt_ < context_.dispatch_.maxRenewalWithoutStore_;
}

auto LeaderRuntime::tick() -> void
{
    if (!provenRecently()) {
        context_.unconfirmed_();
        return;
    }
    scheduler_->tick();
    dropExpired();
    context_.schedule_(TickInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->stopped_) {
            self->tick();
        }
    });
}

auto LeaderRuntime::dropExpired() -> void
{
    const auto now = BootClock::now();
    if (!begun_ || now - lastDrop_ < DropInterval) {
        return;
    }
    lastDrop_ = now;
    for (const auto &[id, occurrences] : scheduler_->expiredJobs()) {
        std::vector<KeyedRecord> progress;
        for (std::uint32_t occurrence = 0; occurrence < occurrences; ++occurrence) {
            progress.push_back({progressKey(id, occurrence), std::nullopt});
        }
        progressAppender_->write(std::move(progress), {});
        feedAppender_->write(JobFeed::dropRecords(id), {});
        scheduler_->removeJob(id);
    }
}

auto LeaderRuntime::guardedCalls() -> WorkerCalls
{
    // A machine may freeze between a decision and its order. An order that is not sent gets no answer here; the tick steps down.
    const auto weak = weak_from_this();
    const auto may = [weak] {
        const auto self = weak.lock();
        return self && !self->stopped_ && self->provenRecently();
    };
    auto calls = context_.binding_.workers_;
    WorkerCalls guarded;
    guarded.start_ = [may, calls](StartCommand order, std::function<void(CommandResponse)> callback) {
        if (may()) {
            calls.start_(std::move(order), std::move(callback));
        }
    };
    guarded.stop_ = [may, calls](StopCommand order, std::function<void(CommandResponse)> callback) {
        if (may()) {
            calls.stop_(std::move(order), std::move(callback));
        }
    };
    guarded.renew_ = [may, calls](RenewCommand order, std::function<void(CommandResponse)> callback) {
        if (may()) {
            calls.renew_(std::move(order), std::move(callback));
        }
    };
    return guarded;
}

auto LeaderRuntime::schedulerHooks() -> SchedulerHooks
{
    const auto weak = weak_from_this();
    SchedulerHooks hooks;
    hooks.storeProgress_ = [weak](std::vector<KeyedRecord> records, std::function<void(bool)> callback) {
        if (const auto self = weak.lock(); self) {
            self->progressAppender_->write(std::move(records), [callback = std::move(callback)](const WriteResult &result) {
                callback(std::holds_alternative<WriteStored>(result));
            });
        }
    };
    hooks.publishPhases_ = [weak](const std::vector<std::pair<JobId, JobPhase>> &phases) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        std::vector<KeyedRecord> records;
        records.reserve(phases.size());
        for (const auto &[id, phase] : phases) {
            records.push_back(JobFeed::phaseRecord(id, phase));
        }
        self->feedAppender_->write(std::move(records), {});
    };
    hooks.config_ = context_.directory_;
    hooks.evacuatedZones_ = context_.evacuatedZones_;
    hooks.wallNow_ = context_.wallNow_;
    hooks.schedule_ = context_.schedule_;
    return hooks;
}
} // namespace Marjoramfold
