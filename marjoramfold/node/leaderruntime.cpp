#include "marjoramfold/node/leaderruntime.h"

#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace Marjoramfold
{
namespace
{
/// Producer name shared by all leaders, so that the store fences lower epochs.
constexpr const char *LeaderProducer = "leader";
/// Interval of the leader's renewal records.
constexpr std::chrono::milliseconds RenewInterval{250};
constexpr std::chrono::milliseconds TickInterval{100};
/// An answer that takes this long shows that the store is slow, for some time after it. Leases are then renewed for longer without an answer.
constexpr std::chrono::milliseconds SlowStoreAnswer{120};
constexpr std::chrono::seconds SlowStoreMemory{10};
/// Time before the limit at which the last renewal of a lease without the store is sent.
constexpr std::chrono::milliseconds LastRenewalLead{100};
/// Timeout of the first request for a page of progress records; it doubles with each failure, as a busy store answers more slowly.
constexpr std::chrono::milliseconds LoadTimeout{900};
constexpr std::chrono::milliseconds MaxLoadTimeout{7200};
constexpr std::chrono::milliseconds LoadRetryPause{100};
/// Pause between reads of the worker list: entries change with every heartbeat, but of the values that scheduling uses, such as state, address, capacity,
/// incarnation and clock, usually only the clock changes.
constexpr std::chrono::milliseconds WorkerListReadPause{300};
constexpr std::chrono::milliseconds WorkerListWait{1000};
/// Interval of the search for jobs whose retention has expired.
constexpr std::chrono::seconds ExpiryCheckInterval{20};
/// Time for which a queue must be missing before its settings are deleted; instances accept jobs by configurations that are some seconds old.
constexpr std::chrono::seconds MinQueueAbsence{60};
} // namespace

LeaderRuntime::LeaderRuntime(LeaderContext context, std::uint64_t epoch, JobFeed &feed)
    : context_(std::move(context))
    , epoch_(epoch)
    , feed_(feed)
    , startedAt_(BootClock::now())
    , confirmedAt_(startedAt_)
    , renewsFor_(context_.dispatch_.maxRenewalWithoutStore_)
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
    scheduler_ = std::make_unique<FleetScheduler>(context_.dispatch_, epoch_, guardedCalls(), schedulerHooks(), [weak] {
        if (const auto self = weak.lock(); self && !self->stopped_) {
            self->context_.fenced_();
        }
    });
    feedAppender_ = appenderFor(feedStream());
    progressAppender_ = appenderFor(progressStream());
    FollowerOptions options;
    options.stream_ = context_.binding_.workerStream_;
    options.wait_ = WorkerListWait;
    options.readPause_ = WorkerListReadPause;
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
    // Once the epoch is set, the store confirms no former leader any more.
    feedAppender_->announceEpoch([weak](const WriteResult &result) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
            return;
        }
        if (std::holds_alternative<WriteFenced>(result)) {
            self->context_.fenced_();
            return;
        }
        self->othersFencedAt_ = BootClock::now();
        self->beginWhenReady();
    });
    // Once the epoch is set, the store rejects appends of former leaders, so the progress read afterwards is complete.
    progressAppender_->announceEpoch([weak](const WriteResult &result) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
            return;
        }
        if (std::holds_alternative<WriteFenced>(result)) {
            self->context_.fenced_();
            return;
        }
        self->loadProgress({}, LoadTimeout);
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
    backlog_.reset();
    feedAppender_->write({JobFeed::leadershipRecord({LeadershipAction::Resign, epoch_, context_.instance_, context_.process_, 0})},
                         [callback = std::move(callback)](const WriteResult & /*result*/) {
                             callback();
                         });
}

auto LeaderRuntime::loadProgress(const std::string &afterKey, std::chrono::milliseconds timeout) -> void
{
    const auto weak = weak_from_this();
    context_.binding_.store_.newest_({progressStream(), afterKey, timeout, false}, [weak, afterKey, timeout](Result<NewestPage> result) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
            return;
        }
        if (!isOk(result)) {
            LogLine(LogSeverity::Warning, "progress_load_failed").with("reason", toString(errorOf(result)));
            self->context_.schedule_(LoadRetryPause, [weak, afterKey, timeout] {
                if (const auto runtime = weak.lock(); runtime && !runtime->stopped_) {
                    runtime->loadProgress(afterKey, std::min(timeout * 2, MaxLoadTimeout));
                }
            });
            return;
        }
        auto page = valueOf(std::move(result));
        if (afterKey.empty()) {
            self->progressEnd_ = page.end_;
        }
        const auto lastKey = page.records_.empty() ? std::string() : page.records_.back().record_.key_;
        std::move(page.records_.begin(), page.records_.end(), std::back_inserter(self->progress_));
        if (page.more_ && !lastKey.empty()) {
            self->loadProgress(lastKey, timeout);
            return;
        }
        self->progressLoaded_ = true;
        self->beginWhenReady();
    });
}

auto LeaderRuntime::onWorkerRecords(const std::vector<StoredRecord> &records, bool loaded) -> void
{
    const WorkMeter::Scope scope(context_.workMeter_, WorkKind::WorkerList);
    for (const auto &record : records) {
        const WorkerId id(record.record_.key_);
        if (!record.record_.value_) {
            listed_.erase(id);
            unreadable_.erase(id);
            scheduler_->removeWorker(id);
            continue;
        }
        const auto entry = context_.binding_.decodeWorkerEntry_(record.record_.key_, *record.record_.value_);
        if (!isOk(entry)) {
            onUnreadableEntry(id, errorOf(entry));
            continue;
        }
        listed_[id] = true;
        unreadable_.erase(id);
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

auto LeaderRuntime::onUnreadableEntry(const WorkerId &id, const Error &error) -> void
{
    // Another writer may have replaced the entry of a worker that still exists, so a known worker keeps its last readable entry.
    if (const auto *session = scheduler_->sessions().find(id); session != nullptr && session->listed_) {
        listed_[id] = true;
    }
    // An entry may change with every heartbeat.
    if (unreadable_.insert(id).second) {
        LogLine(LogSeverity::Warning, "worker_entry_ignored").with("worker", id.value()).with("reason", error.message_);
    }
}

auto LeaderRuntime::beginWhenReady() -> void
{
    if (begun_ || !othersFencedAt_ || !progressLoaded_ || !workersLoaded_) {
        return;
    }
    begun_ = true;
    for (const auto &[id, job] : feed_.jobs()) {
        scheduler_->addJob(job.submission_, job.reportedPhase());
    }
    for (const auto &record : progress_) {
        if (record.record_.value_) {
            scheduler_->restoreProgress(record.record_.key_, *record.record_.value_, record.offset_);
        }
    }
    LogLine(LogSeverity::Info, "leadership_begun")
        .with("epoch", epoch_)
        .with("jobs", scheduler_->jobs().size())
        .with("progress_records", progress_.size())
        .with("progress_end", progressEnd_)
        .with("workers", scheduler_->sessions().all().size())
        .with("took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - startedAt_).count());
    progress_.clear();
    progressKnown_ = progressEnd_;
    feed_.queueSettings().addMissing(queuesWithJobs(), context_.config_());
    storeQueueSettings();
    if (auto claims = feed_.claimTombstones(epoch_); !claims.empty()) {
        feedAppender_->writeInOrder(std::move(claims), {});
    }
    scheduler_->startScheduling(formerCommands());
    if (context_.dispatch_.rejectHopeless_) {
        backlog_ = makeBacklogPublisher();
    }
}

auto LeaderRuntime::formerCommands() const -> FormerCommands
{
    // A former leader stops sending leases when it resigns, or some time after the store last confirmed its leadership. The leaders before one
    // that resigned may still be within that time.
    const auto &options = context_.dispatch_;
    const auto &predecessor = feed_.predecessor();
    const auto &leader = feed_.leader();
    if (leader.epoch_ == epoch_ && leader.isFirst_) {
        FormerCommands none;
        none.exist_ = false;
        return none;
    }
    const auto within = [&options, &predecessor](BootTime confirmed) {
        // A leader renews no leases out of office.
        return FormerCommands{confirmed + options.maxTermWithoutStore_, confirmed + options.maxStartWithoutStore_, predecessor.statement_, std::nullopt, true};
    };
    // The store confirms no record of a former leader behind this leader's first renewal, so the feed has shown the last one.
    const auto hasLastRecord = leader.epoch_ == epoch_ && leader.firstRenewalAt_ && predecessor.firstRenewalAt_;
    const auto statedAt = predecessor.statement_ && (hasLastRecord || predecessor.resigned_) ? std::optional(predecessor.statedAt_) : std::nullopt;
    if (predecessor.resigned_ && predecessor.firstRenewalAt_) {
        auto former = within(*predecessor.firstRenewalAt_);
        former.reportedUntil_ = std::max(predecessor.lastRecordAt_, former.reportedUntil_);
        former.unreportedUntil_ = std::max(predecessor.lastRecordAt_, former.unreportedUntil_);
        former.statedAt_ = statedAt;
        return former;
    }
    auto former = within(hasLastRecord ? std::min(predecessor.lastRecordAt_, *othersFencedAt_) : *othersFencedAt_);
    if (hasLastRecord && predecessor.statement_) {
        former.reportedUntil_ = std::min(former.reportedUntil_, predecessor.renewsUntil_);
    }
    former.statedAt_ = statedAt;
    return former;
}

auto LeaderRuntime::onSubmitted(const Submission &submission) -> void
{
    if (begun_) {
        // The phase or cancellation of a job may precede its submission in a load of the feed.
        const auto *job = feed_.find(submission.id_);
        if (job != nullptr && job->cancelled_) {
            LogLine(LogSeverity::Info, "cancelled_before_submission").job(submission.id_.value()).with("cancel_offset", job->cancelOffset_);
        }
        scheduler_->addJob(submission, job == nullptr ? JobPhase::Queued : job->reportedPhase());
    }
}

auto LeaderRuntime::onCancelled(const JobId &id) -> void
{
    if (begun_) {
        scheduler_->cancelJob(id);
    }
}

auto LeaderRuntime::onRemoved(const JobId &id) -> void
{
    if (begun_) {
        scheduler_->removeJob(id);
    }
}

auto LeaderRuntime::onConfigChanged() -> void
{
    if (begun_) {
        storeQueueSettings();
        scheduler_->onConfigChanged();
    }
}

auto LeaderRuntime::renew() -> void
{
    const auto weak = weak_from_this();
    // One renewal at a time: renewals queued behind a slow append would add no information. Other records never delay it.
    if (!renewing_) {
        renewing_ = true;
        const auto sentAt = BootClock::now();
        auto stated = scheduler_->stateLeases(begun_ ? progressKnown_ : 0);
        const auto isSlow = slowAt_ != BootTime{} && sentAt - slowAt_ < SlowStoreMemory;
        stated.renewsFor_ = isSlow ? LeaseStatement::MaxRenewsFor : context_.dispatch_.maxRenewalWithoutStore_;
        auto statement = std::make_shared<const LeaseStatement>(std::move(stated));
        feedAppender_->writeAhead({JobFeed::leadershipRecord({LeadershipAction::Renew, epoch_, context_.instance_, context_.process_, 0, statement})},
                                  [weak, sentAt, statement](const WriteResult &result) {
                                      const auto self = weak.lock();
                                      if (!self || self->stopped_) {
                                          return;
                                      }
                                      self->renewing_ = false;
                                      if (std::holds_alternative<WriteFenced>(result)) {
                                          self->context_.fenced_();
                                      } else {
                                          const auto now = BootClock::now();
                                          self->slowAt_ = now - sentAt >= SlowStoreAnswer ? now : self->slowAt_;
                                          self->confirmedAt_ = sentAt;
                                          self->renewsFor_ = statement->renewsFor_;
                                          self->scheduler_->onStatementConfirmed(*statement);
                                      }
                                  });
    }
    context_.schedule_(RenewInterval, [weak] {
        if (const auto self = weak.lock(); self && !self->stopped_) {
            self->renew();
        }
    });
}

auto LeaderRuntime::confirmedWithin(std::chrono::milliseconds time) const -> bool
{
    return BootClock::now() - confirmedAt_ < time;
}

auto LeaderRuntime::confirmedRecently() const -> bool
{
    return confirmedWithin(context_.dispatch_.maxTermWithoutStore_);
}

auto LeaderRuntime::tick() -> void
{
    if (!confirmedRecently()) {
        context_.leadershipExpired_();
        return;
    }
    if (begun_) {
        scheduler_->limitFormerCommands(formerCommands());
    }
    scheduler_->tick();
    storeQueueSettings();
    dropExpiredJobs();
    if (backlog_) {
        const WorkMeter::Scope scope(context_.workMeter_, WorkKind::Ticks);
        backlog_->check(BootClock::now());
    }
    context_.schedule_(TickInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->stopped_) {
            self->tick();
        }
    });
}

auto LeaderRuntime::makeBacklogPublisher() -> std::unique_ptr<BacklogPublisher>
{
    const auto weak = weak_from_this();
    const auto takeSample = [this] {
        return scheduler_->backlogSample();
    };
    const auto publish = [weak](KeyedRecord record, std::function<void()> callback) {
        if (const auto self = weak.lock(); self) {
            self->feedAppender_->write({std::move(record)}, [callback = std::move(callback)](const WriteResult & /*result*/) {
                callback();
            });
        }
    };
    return std::make_unique<BacklogPublisher>(epoch_, takeSample, publish);
}

auto LeaderRuntime::dropExpiredJobs() -> void
{
    const auto now = BootClock::now();
    if (!begun_ || now - lastExpiryCheck_ < ExpiryCheckInterval) {
        return;
    }
    lastExpiryCheck_ = now;
    for (const auto &[id, keys] : scheduler_->expiredJobs()) {
        std::vector<KeyedRecord> progress;
        progress.reserve(keys.size());
        for (const auto &key : keys) {
            progress.push_back({toString(key), std::nullopt});
        }
        progressAppender_->writeInOrder(std::move(progress), {});
        feedAppender_->write(JobFeed::jobTombstones(id), {});
        scheduler_->removeJob(id);
    }
    if (auto unused = feed_.queueSettings().unusedRecords(queuesWithJobs(), now, MinQueueAbsence); !unused.empty()) {
        feedAppender_->writeInOrder(std::move(unused), {});
    }
    const auto unmatched = feed_.unmatchedCancellations(now - context_.dispatch_.finalStateRetention_);
    if (!unmatched.empty()) {
        LogLine(LogSeverity::Info, "unmatched_cancellations_dropped").with("count", unmatched.size()).with("first", unmatched.front().value());
        std::vector<KeyedRecord> records;
        records.reserve(unmatched.size());
        std::transform(unmatched.begin(), unmatched.end(), std::back_inserter(records), &JobFeed::cancelTombstone);
        feedAppender_->writeInOrder(std::move(records), {});
    }
}

auto LeaderRuntime::guardedCalls() -> WorkerCalls
{
    // The process may be suspended between a decision and its call, so leadership is checked again here. The store may still confirm the
    // leadership afterwards, so a call that is not sent is answered like one that the worker refuses.
    auto calls = context_.binding_.workers_;
    const auto guard = [weak = weak_from_this()](const auto &call, std::chrono::milliseconds limit) {
        return [weak, call, limit](auto command, std::function<void(CommandResponse)> callback) {
            const auto self = weak.lock();
            if (!self || self->stopped_) {
                return;
            }
            if (self->confirmedWithin(limit)) {
                call(std::move(command), std::move(callback));
                return;
            }
            self->context_.schedule_(std::chrono::milliseconds(0), [callback = std::move(callback)] {
                CommandResponse response;
                response.outcome_ = CommandOutcome::Refused;
                response.reason_ = "not sent: the store has not confirmed the leadership recently";
                callback(response);
            });
        };
    };
    const auto &options = context_.dispatch_;
    const auto renew = [weak = weak_from_this(), call = calls.renew_](RenewCommand command, std::function<void(CommandResponse)> callback) {
        if (const auto self = weak.lock(); self) {
            self->limitRenewal(command);
        }
        call(std::move(command), std::move(callback));
    };
    return {guard(calls.start_, options.maxStartWithoutStore_), guard(calls.stop_, options.maxTermWithoutStore_), guard(renew, options.maxTermWithoutStore_)};
}

auto LeaderRuntime::limitRenewal(RenewCommand &command) const -> void
{
    const auto &options = context_.dispatch_;
    const auto limit = command.hasUnreportedRuns_ ? options.maxStartWithoutStore_ : renewsFor_;
    const auto left = limit - std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - confirmedAt_);
    if (left <= std::chrono::milliseconds(0)) {
        // The report is asked for, and the lease stays as it is.
        command.leaseUntil_ = std::chrono::milliseconds(0);
    } else if (left > 2 * LastRenewalLead) {
        // The next renewal follows the response, and the last one before the limit has to come just before it.
        command.wait_ = std::min(command.wait_, left - LastRenewalLead);
    }
}

auto LeaderRuntime::schedulerHooks() -> SchedulerHooks
{
    const auto weak = weak_from_this();
    SchedulerHooks hooks;
    hooks.storeProgress_ = [weak](std::vector<KeyedRecord> records, std::function<void(bool)> callback) {
        if (const auto self = weak.lock(); self) {
            const auto count = records.size();
            self->progressAppender_->writeInOrder(std::move(records), [weak, callback = std::move(callback), count](const WriteResult &result) {
                // Ends are acknowledged from here on: a later leader must have loaded the stream up to a higher offset.
                if (const auto *stored = std::get_if<WriteStored>(&result); stored != nullptr) {
                    if (const auto runtime = weak.lock(); runtime) {
                        runtime->progressKnown_ = std::max(runtime->progressKnown_, stored->end_);
                    }
                    LogLine(LogSeverity::Info, "progress_stored").with("offset", stored->offset_).with("records", count);
                }
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
        self->feedAppender_->writeInOrder(std::move(records), {});
    };
    hooks.config_ = context_.config_;
    hooks.lastQueueSettings_ = [this](const std::string &queue) {
        return feed_.queueSettings().find(queue);
    };
    hooks.evacuatedZones_ = context_.evacuatedZones_;
    hooks.maySendStarts_ = [this] {
        return confirmedWithin(context_.dispatch_.maxStartWithoutStore_);
    };
    hooks.wallNow_ = context_.wallNow_;
    hooks.schedule_ = context_.schedule_;
    hooks.workMeter_ = context_.workMeter_;
    return hooks;
}
} // namespace Marjoramfold
