#include "marjoramfold/log/appendqueue.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Records of one page while a lost answer is looked for.
constexpr int LookPageRecords = 500;

/// A record on its way to the log.
struct Entry {
    RecordId id_;
    nlohmann::json body_;
    std::size_t bytes_ = 0;
    SteadyTime queuedAt_;
    SteadyTime giveUpAt_;
    AppendCallback callback_;
    /// An append of it was sent and not answered.
    bool isInDoubt_ = false;
    bool isReportedUnknown_ = false;
};
} // namespace

/// The queue's records and its phase. The first batch_ entries belong to the exchange in flight.
class AppendQueue::Impl : public std::enable_shared_from_this<AppendQueue::Impl>
{
public:
    Impl(asio::io_context &context, LogClient &log, Clock clock, AppendQueueOptions options)
        : context_(context)
        , log_(log)
        , clock_(std::move(clock))
        , options_(options)
        , backoff_(options.backoff_, options.seed_)
        , timer_(context)
    {
    }

    auto append(const Record &record, std::chrono::milliseconds giveUpAfter, AppendCallback callback) -> void
    {
        const auto now = clock_.steadyNow_();
        Entry entry{idOf(record), encodeRecord(record), 0, now, now + giveUpAfter, std::move(callback)};
        try {
            entry.bytes_ = entry.body_.dump().size();
        } catch (const nlohmann::json::exception &error) {
            report(entry, {AppendOutcome::NotAppended, 0, {ErrorKind::InvalidRequest, error.what(), std::nullopt}});
            return;
        }
        if (entries_.size() >= options_.maxRecords_ || bytes_ + entry.bytes_ > options_.maxBytes_) {
            report(entry, {AppendOutcome::NotAppended, 0, {ErrorKind::LogUnavailable, "the append queue is full", options_.backoff_.last_}});
            return;
        }
        bytes_ += entry.bytes_;
        nextExpiry_ = std::min(nextExpiry_, entry.giveUpAt_);
        entries_.push_back(std::move(entry));
        schedule();
    }

    auto stop() -> void
    {
        stopped_ = true;
        timer_.cancel();
    }

    [[nodiscard]] auto pending() const -> std::size_t
    {
        return entries_.size();
    }

private:
    enum class Phase {
        /// Nothing is in flight.
        Idle,
        /// The end of the stream is asked for, once, so that lost answers need not be looked for from the beginning.
        Probing,
        Sending,
        /// The ids of a lost answer are looked for.
        Looking,
    };

    /// Sets the timer for the next batch or the next expiry.
    auto schedule() -> void
    {
        auto wakeAt = nextExpiry_;
        if (phase_ == Phase::Looking && isLookDue_) {
            wakeAt = std::min(wakeAt, retryAt_);
        }
        if (phase_ == Phase::Idle && !entries_.empty()) {
            const auto isFull = entries_.size() >= options_.maxBatchRecords_;
            const auto batchAt = isFull ? entries_.front().queuedAt_ : entries_.front().queuedAt_ + options_.maxBatchDelay_;
            wakeAt = std::min(wakeAt, std::max(batchAt, retryAt_));
        }
        if (stopped_ || wakeAt == SteadyTime::max()) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(std::max(wakeAt - clock_.steadyNow_(), SteadyTime::duration::zero()));
        timer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->wake();
            }
        });
    }

    auto wake() -> void
    {
        const auto now = clock_.steadyNow_();
        expire(now);
        if (now >= retryAt_) {
            if (phase_ == Phase::Idle && !entries_.empty()) {
                beginBatch();
            } else if (phase_ == Phase::Looking && isLookDue_) {
                look();
            }
        }
        schedule();
    }

    auto beginBatch() -> void
    {
        if (floor_ == 0) {
            probe();
            return;
        }
        phase_ = Phase::Sending;
        batch_ = 0;
        std::size_t bytes = 0;
        std::vector<nlohmann::json> bodies;
        const auto limit = singles_ > 0 ? 1 : options_.maxBatchRecords_;
        for (const auto &entry : entries_) {
            if (batch_ == limit || (batch_ > 0 && bytes + entry.bytes_ > options_.maxBatchBytes_)) {
                break;
            }
            ++batch_;
            bytes += entry.bytes_;
            bodies.push_back(entry.body_);
        }
        log_.append(options_.stream_, std::move(bodies), [weak = weak_from_this()](const Result<Offset> &result) {
            const auto self = weak.lock();
            if (self && !self->stopped_) {
                self->takeAnswer(result);
                self->schedule();
            }
        });
    }

    auto probe() -> void
    {
        phase_ = Phase::Probing;
        log_.read({options_.stream_, 0, 1, std::chrono::milliseconds(0)}, [weak = weak_from_this()](const Result<LogPage> &result) {
            const auto self = weak.lock();
            if (!self || self->stopped_) {
                return;
            }
            self->phase_ = Phase::Idle;
            if (isOk(result)) {
                self->floor_ = std::max<Offset>(valueOf(result).end_, 1);
                self->backoff_.reset();
            } else {
                self->lastError_ = errorOf(result);
                self->retryLater();
            }
            self->schedule();
        });
    }

    auto takeAnswer(const Result<Offset> &result) -> void
    {
        phase_ = Phase::Idle;
        if (isOk(result)) {
            const auto first = valueOf(result);
            for (std::size_t i = 0; i < batch_; ++i) {
                complete(i, first + i);
            }
            floor_ = std::max(floor_, first + batch_);
            removeCompleted();
            backoff_.reset();
            return;
        }
        lastError_ = errorOf(result);
        if (lastError_.kind_ == ErrorKind::LogUnavailable) {
            retryLater();
            return;
        }
        if (lastError_.kind_ == ErrorKind::InvalidRequest) {
            refuseBatch();
            return;
        }
        for (std::size_t i = 0; i < batch_; ++i) {
            entries_[i].isInDoubt_ = true;
        }
        LOG(WARNING) << "append_answer_lost stream=" << toString(options_.stream_) << " records=" << batch_ << " error=\"" << toString(lastError_) << '"';
        phase_ = Phase::Looking;
        lookFrom_ = floor_;
        lookSoon();
    }

    /// The log refused the batch as wrong. Records go one by one until the wrong one is found.
    auto refuseBatch() -> void
    {
        if (batch_ > 1) {
            singles_ = batch_;
            return;
        }
        finish(0, {AppendOutcome::NotAppended, 0, lastError_});
        removeCompleted();
    }

    auto lookSoon() -> void
    {
        isLookDue_ = true;
        retryLater();
    }

    /// Reads on from where the lost append was sent.
    auto look() -> void
    {
        isLookDue_ = false;
        log_.read({options_.stream_, lookFrom_, LookPageRecords, std::chrono::milliseconds(0)}, [weak = weak_from_this()](const Result<LogPage> &result) {
            const auto self = weak.lock();
            if (self && !self->stopped_) {
                self->takeLook(result);
                self->schedule();
            }
        });
    }

    auto takeLook(const Result<LogPage> &result) -> void
    {
        if (!isOk(result)) {
            lastError_ = errorOf(result);
            if (lastError_.kind_ == ErrorKind::OffsetExpired) {
                lookFrom_ = 0;
            }
            lookSoon();
            return;
        }
        const auto &page = valueOf(result);
        findBatch(page);
        lookFrom_ = page.records_.empty() ? page.end_ : page.records_.back().offset_ + 1;
        if (lookFrom_ < page.end_) {
            look();
            return;
        }
        floor_ = std::max<Offset>(page.end_, 1);
        phase_ = Phase::Idle;
        const auto before = entries_.size();
        removeCompleted();
        if (entries_.size() != before) {
            backoff_.reset();
        } else {
            retryLater();
        }
    }

    /// Completes the records of the batch that a page holds.
    auto findBatch(const LogPage &page) -> void
    {
        std::unordered_map<std::string, std::size_t> wanted;
        for (std::size_t i = 0; i < batch_; ++i) {
            if (entries_[i].callback_) {
                wanted.emplace(entries_[i].id_.value(), i);
            }
        }
        for (const auto &record : page.records_) {
            const auto id = record.body_.is_object() ? record.body_.find("id") : record.body_.end();
            if (id == record.body_.end() || !id->is_string()) {
                continue;
            }
            const auto found = wanted.find(id->get_ref<const std::string &>());
            if (found != wanted.end()) {
                complete(found->second, record.offset_);
                wanted.erase(found);
            }
        }
    }

    auto retryLater() -> void
    {
        retryAt_ = clock_.steadyNow_() + backoff_.next();
        expire(clock_.steadyNow_());
    }

    /// Reports the records whose time is up.
    auto expire(SteadyTime now) -> void
    {
        if (now < nextExpiry_) {
            return;
        }
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            auto &entry = entries_[i];
            if (!entry.callback_ || entry.isReportedUnknown_ || entry.giveUpAt_ > now) {
                continue;
            }
            const auto isInFlight = phase_ == Phase::Sending && i < batch_;
            if (entry.isInDoubt_ || isInFlight) {
                entry.isReportedUnknown_ = true;
                report(entry, {AppendOutcome::Undetermined, 0, {ErrorKind::Timeout, "the log has not answered the append", std::nullopt}});
            } else {
                finish(i, {AppendOutcome::NotAppended, 0, notAppendedError()});
            }
        }
        if (phase_ == Phase::Idle) {
            batch_ = 0;
        }
        removeCompleted();
        nextExpiry_ = SteadyTime::max();
        for (const auto &entry : entries_) {
            if (entry.callback_ && !entry.isReportedUnknown_) {
                nextExpiry_ = std::min(nextExpiry_, entry.giveUpAt_);
            }
        }
    }

    [[nodiscard]] auto notAppendedError() const -> Error
    {
        const auto reason = lastError_.message_.empty() ? "the log was not reached in time" : lastError_.message_;
        return {ErrorKind::LogUnavailable, reason, options_.backoff_.last_};
    }

    auto complete(std::size_t index, Offset offset) -> void
    {
        finish(index, {AppendOutcome::Appended, offset, {}});
    }

    /// Reports a final outcome; the entry is removed later, so that indexes stay valid.
    auto finish(std::size_t index, const AppendReport &outcome) -> void
    {
        report(entries_[index], outcome);
        entries_[index].callback_ = nullptr;
    }

    auto report(const Entry &entry, const AppendReport &outcome) -> void
    {
        asio::post(context_, [weak = weak_from_this(), callback = entry.callback_, outcome] {
            const auto self = weak.lock();
            if (self && !self->stopped_) {
                callback(outcome);
            }
        });
    }

    auto removeCompleted() -> void
    {
        std::size_t kept = 0;
        std::size_t keptOfBatch = 0;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!entries_[i].callback_) {
                bytes_ -= entries_[i].bytes_;
                singles_ -= std::min<std::size_t>(singles_, i < batch_ ? 1 : 0);
                continue;
            }
            keptOfBatch += i < batch_ ? 1 : 0;
            if (kept != i) {
                entries_[kept] = std::move(entries_[i]);
            }
            ++kept;
        }
        entries_.resize(kept);
        batch_ = keptOfBatch;
    }

    asio::io_context &context_;
    LogClient &log_;
    Clock clock_;
    AppendQueueOptions options_;
    Backoff backoff_;
    asio::steady_timer timer_;
    std::deque<Entry> entries_;
    std::size_t bytes_ = 0;
    Phase phase_ = Phase::Idle;
    std::size_t batch_ = 0;
    /// Records to send one by one, after a batch was refused as wrong.
    std::size_t singles_ = 0;
    /// The stream ended here before the batch was sent; 0 while unknown.
    Offset floor_ = 0;
    Offset lookFrom_ = 0;
    bool isLookDue_ = false;
    SteadyTime retryAt_;
    SteadyTime nextExpiry_ = SteadyTime::max();
    Error lastError_;
    bool stopped_ = false;
};

AppendQueue::AppendQueue(asio::io_context &context, LogClient &log, Clock clock, AppendQueueOptions options)
    : impl_(std::make_shared<Impl>(context, log, std::move(clock), options))
{
}

AppendQueue::~AppendQueue()
{
    impl_->stop();
}

auto AppendQueue::append(const Record &record, std::chrono::milliseconds giveUpAfter, AppendCallback callback) -> void
{
    impl_->append(record, giveUpAfter, std::move(callback));
}

auto AppendQueue::pending() const -> std::size_t
{
    return impl_->pending();
}
} // namespace Marjoramfold
