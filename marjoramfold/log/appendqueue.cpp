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
/// Page size of the search after a lost response.
constexpr int SearchPageRecords = 500;

/// A queued record.
struct Entry {
    RecordId id_;
    nlohmann::json body_;
    std::size_t bytes_ = 0;
    SteadyTime queuedAt_;
    SteadyTime deadline_;
    AppendCallback callback_;
    /// An append of it was sent and got no response.
    bool isInDoubt_ = false;
    bool isReportedUndetermined_ = false;
};
} // namespace

/// The queued records and the phase of the current batch, which consists of the first batchSize_ entries.
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

    auto append(const Record &record, std::chrono::milliseconds timeout, AppendCallback callback) -> void
    {
        const auto now = clock_.steadyNow_();
        Entry entry{idOf(record), encodeRecord(record), 0, now, now + timeout, std::move(callback)};
        try {
            entry.bytes_ = entry.body_.dump().size();
        } catch (const nlohmann::json::exception &error) {
            report(entry, {AppendOutcome::NotAppended, 0, {ErrorKind::InvalidRequest, error.what(), std::nullopt}});
            return;
        }
        if (entries_.size() >= options_.maxRecords_ || bytes_ + entry.bytes_ > options_.maxBytes_) {
            report(entry,
                   {AppendOutcome::NotAppended,
                    0,
                    {ErrorKind::LogUnavailable, "the append queue is full; the record was not appended", options_.backoff_.maxDelay_}});
            return;
        }
        bytes_ += entry.bytes_;
        nextExpiry_ = std::min(nextExpiry_, entry.deadline_);
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
        /// The end of the stream is read, once, so that later searches need not start at its beginning.
        ReadingEnd,
        Sending,
        /// The log is searched for the ids of the batch, after its response was lost.
        Searching,
    };

    /// Sets the timer for the next batch or the next expiry.
    auto schedule() -> void
    {
        auto timerAt = nextExpiry_;
        if (phase_ == Phase::Searching && isSearchReadDue_) {
            timerAt = std::min(timerAt, retryAt_);
        }
        if (phase_ == Phase::Idle && !entries_.empty()) {
            const auto isFull = entries_.size() >= options_.maxBatchRecords_;
            const auto batchAt = isFull ? entries_.front().queuedAt_ : entries_.front().queuedAt_ + options_.maxBatchDelay_;
            timerAt = std::min(timerAt, std::max(batchAt, retryAt_));
        }
        if (stopped_ || timerAt == SteadyTime::max()) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(std::max(timerAt - clock_.steadyNow_(), SteadyTime::duration::zero()));
        timer_.async_wait([weak = weak_from_this()](const std::error_code &error) {
            const auto self = weak.lock();
            if (self && !error) {
                self->onTimer();
            }
        });
    }

    auto onTimer() -> void
    {
        const auto now = clock_.steadyNow_();
        expire(now);
        if (now >= retryAt_) {
            if (phase_ == Phase::Idle && !entries_.empty()) {
                sendBatch();
            } else if (phase_ == Phase::Searching && isSearchReadDue_) {
                readSearchPage();
            }
        }
        schedule();
    }

    auto sendBatch() -> void
    {
        if (streamEnd_ == 0) {
            readStreamEnd();
            return;
        }
        phase_ = Phase::Sending;
        batchSize_ = 0;
        std::size_t bytes = 0;
        std::vector<nlohmann::json> bodies;
        const auto limit = singleAppends_ > 0 ? 1 : options_.maxBatchRecords_;
        for (const auto &entry : entries_) {
            if (batchSize_ == limit || (batchSize_ > 0 && bytes + entry.bytes_ > options_.maxBatchBytes_)) {
                break;
            }
            ++batchSize_;
            bytes += entry.bytes_;
            bodies.push_back(entry.body_);
        }
        log_.append(options_.stream_, std::move(bodies), [weak = weak_from_this()](const Result<Offset> &result) {
            const auto self = weak.lock();
            if (self && !self->stopped_) {
                self->handleAppendResult(result);
                self->schedule();
            }
        });
    }

    auto readStreamEnd() -> void
    {
        phase_ = Phase::ReadingEnd;
        log_.read({options_.stream_, 0, 1, std::chrono::milliseconds(0)}, [weak = weak_from_this()](const Result<LogPage> &result) {
            const auto self = weak.lock();
            if (!self || self->stopped_) {
                return;
            }
            self->phase_ = Phase::Idle;
            if (isOk(result)) {
                self->streamEnd_ = std::max<Offset>(valueOf(result).end_, 1);
                self->backoff_.reset();
            } else {
                self->lastError_ = errorOf(result);
                self->delayRetry();
            }
            self->schedule();
        });
    }

    auto handleAppendResult(const Result<Offset> &result) -> void
    {
        phase_ = Phase::Idle;
        if (isOk(result)) {
            const auto first = valueOf(result);
            for (std::size_t i = 0; i < batchSize_; ++i) {
                complete(i, first + i);
            }
            streamEnd_ = std::max(streamEnd_, first + batchSize_);
            removeCompleted();
            backoff_.reset();
            return;
        }
        lastError_ = errorOf(result);
        if (lastError_.kind_ == ErrorKind::LogUnavailable) {
            delayRetry();
            return;
        }
        if (lastError_.kind_ == ErrorKind::InvalidRequest) {
            handleRejectedBatch();
            return;
        }
        for (std::size_t i = 0; i < batchSize_; ++i) {
            entries_[i].isInDoubt_ = true;
        }
        LOG(WARNING) << "append_answer_lost stream=" << toString(options_.stream_) << " records=" << batchSize_ << " error=\"" << toString(lastError_) << '"';
        phase_ = Phase::Searching;
        searchPosition_ = streamEnd_;
        scheduleSearch();
    }

    /// Handles a batch that the log rejected as invalid: its records are sent one by one, so that only the invalid ones are refused.
    auto handleRejectedBatch() -> void
    {
        if (batchSize_ > 1) {
            singleAppends_ = batchSize_;
            return;
        }
        finish(0, {AppendOutcome::NotAppended, 0, lastError_});
        removeCompleted();
    }

    auto scheduleSearch() -> void
    {
        isSearchReadDue_ = true;
        delayRetry();
    }

    /// Reads the next page of the search, which begins at the end of the stream before the batch was sent.
    auto readSearchPage() -> void
    {
        isSearchReadDue_ = false;
        log_.read({options_.stream_, searchPosition_, SearchPageRecords, std::chrono::milliseconds(0)},
                  [weak = weak_from_this()](const Result<LogPage> &result) {
                      const auto self = weak.lock();
                      if (self && !self->stopped_) {
                          self->handleSearchPage(result);
                          self->schedule();
                      }
                  });
    }

    auto handleSearchPage(const Result<LogPage> &result) -> void
    {
        if (!isOk(result)) {
            lastError_ = errorOf(result);
            if (lastError_.kind_ == ErrorKind::OffsetExpired) {
                searchPosition_ = 0;
            }
            scheduleSearch();
            return;
        }
        const auto &page = valueOf(result);
        completeFound(page);
        searchPosition_ = page.records_.empty() ? page.end_ : page.records_.back().offset_ + 1;
        if (searchPosition_ < page.end_) {
            readSearchPage();
            return;
        }
        streamEnd_ = std::max<Offset>(page.end_, 1);
        phase_ = Phase::Idle;
        const auto before = entries_.size();
        removeCompleted();
        if (entries_.size() != before) {
            backoff_.reset();
        } else {
            delayRetry();
        }
    }

    /// Completes the records of the batch that are in a page.
    auto completeFound(const LogPage &page) -> void
    {
        std::unordered_map<std::string, std::size_t> wanted;
        for (std::size_t i = 0; i < batchSize_; ++i) {
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

    auto delayRetry() -> void
    {
        retryAt_ = clock_.steadyNow_() + backoff_.next();
        expire(clock_.steadyNow_());
    }

    /// Reports the records whose timeout has expired.
    auto expire(SteadyTime now) -> void
    {
        if (now < nextExpiry_) {
            return;
        }
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            auto &entry = entries_[i];
            if (!entry.callback_ || entry.isReportedUndetermined_ || entry.deadline_ > now) {
                continue;
            }
            const auto isInFlight = phase_ == Phase::Sending && i < batchSize_;
            if (entry.isInDoubt_ || isInFlight) {
                entry.isReportedUndetermined_ = true;
                report(entry,
                       {AppendOutcome::Undetermined,
                        0,
                        {ErrorKind::Timeout, "the log has not responded to the append; the record may be in the log", std::nullopt}});
            } else {
                finish(i, {AppendOutcome::NotAppended, 0, notAppendedError()});
            }
        }
        if (phase_ == Phase::Idle) {
            batchSize_ = 0;
        }
        removeCompleted();
        nextExpiry_ = SteadyTime::max();
        for (const auto &entry : entries_) {
            if (entry.callback_ && !entry.isReportedUndetermined_) {
                nextExpiry_ = std::min(nextExpiry_, entry.deadline_);
            }
        }
    }

    [[nodiscard]] auto notAppendedError() const -> Error
    {
        const auto reason = lastError_.message_.empty() ? "the log was not reached before the timeout" : lastError_.message_;
        return {ErrorKind::LogUnavailable, reason, options_.backoff_.maxDelay_};
    }

    auto complete(std::size_t index, Offset offset) -> void
    {
        finish(index, {AppendOutcome::Appended, offset, {}});
    }

    /// Reports a final outcome; removeCompleted() removes the entry later, so that indexes stay valid.
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
        std::size_t remaining = 0;
        std::size_t remainingOfBatch = 0;
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (!entries_[i].callback_) {
                bytes_ -= entries_[i].bytes_;
                singleAppends_ -= std::min<std::size_t>(singleAppends_, i < batchSize_ ? 1 : 0);
                continue;
            }
            remainingOfBatch += i < batchSize_ ? 1 : 0;
            if (remaining != i) {
                entries_[remaining] = std::move(entries_[i]);
            }
            ++remaining;
        }
        entries_.resize(remaining);
        batchSize_ = remainingOfBatch;
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
    std::size_t batchSize_ = 0;
    /// Number of records to send one by one, after a batch was rejected as invalid.
    std::size_t singleAppends_ = 0;
    /// End of the stream before the batch was sent; 0 while unknown.
    Offset streamEnd_ = 0;
    Offset searchPosition_ = 0;
    bool isSearchReadDue_ = false;
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

auto AppendQueue::append(const Record &record, std::chrono::milliseconds timeout, AppendCallback callback) -> void
{
    impl_->append(record, timeout, std::move(callback));
}

auto AppendQueue::pending() const -> std::size_t
{
    return impl_->pending();
}
} // namespace Marjoramfold
