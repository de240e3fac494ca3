#include "marjoramfold/store/orderedappender.h"

#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Upper bound for the length fields of one record in an append body.
constexpr std::size_t RecordOverheadBytes = 8;
/// Interval of the log line on an append that the store keeps rejecting.
constexpr std::chrono::milliseconds RefusalLogInterval{2000};

auto bytesOf(const KeyedRecord &record) -> std::size_t
{
    return RecordOverheadBytes + record.key_.size() + (record.value_ ? record.value_->size() : 0);
}

auto bytesOf(const std::vector<KeyedRecord> &records) -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto &record : records) {
        bytes += bytesOf(record);
    }
    return bytes;
}
} // namespace

OrderedAppender::OrderedAppender(StreamStore store, Schedule schedule, AppenderOptions options)
    : store_(std::move(store))
    , schedule_(std::move(schedule))
    , options_(std::move(options))
{
}

auto OrderedAppender::write(std::vector<KeyedRecord> records, Callback callback) -> void
{
    writeUntil(std::move(records), BootTime::max(), std::move(callback));
}

auto OrderedAppender::writeInOrder(std::vector<KeyedRecord> records, Callback callback) -> void
{
    std::vector<KeyedRecord> next;
    std::size_t bytes = 0;
    for (auto &record : records) {
        const auto recordBytes = bytesOf(record);
        if (!next.empty() && bytes + recordBytes > options_.maxBatchBytes_) {
            write(std::exchange(next, {}), {});
            bytes = 0;
        }
        bytes += recordBytes;
        next.push_back(std::move(record));
    }
    write(std::move(next), std::move(callback));
}

auto OrderedAppender::writeUntil(std::vector<KeyedRecord> records, BootTime sendBy, Callback callback) -> void
{
    waiting_.push_back({std::move(records), std::move(callback), sendBy});
    sendNext();
}

auto OrderedAppender::writeAhead(std::vector<KeyedRecord> records, Callback callback) -> void
{
    // The announcement of the epoch stays first: records are stored under the announced epoch only.
    const auto announces = !waiting_.empty() && waiting_.front().records_.empty();
    waiting_.insert(waiting_.begin() + (announces ? 1 : 0), {std::move(records), std::move(callback)});
    sendNext();
}

auto OrderedAppender::announceEpoch(Callback callback) -> void
{
    write({}, std::move(callback));
}

auto OrderedAppender::stop() -> void
{
    stopped_ = true;
    waiting_.clear();
    batch_.clear();
}

auto OrderedAppender::backlog() const -> std::size_t
{
    return waiting_.size() + batch_.size();
}

auto OrderedAppender::inFlightAge(BootTime now) const -> std::chrono::milliseconds
{
    return sending_ ? std::chrono::duration_cast<std::chrono::milliseconds>(now - batchSentAt_) : std::chrono::milliseconds(0);
}

auto OrderedAppender::refuseExpired() -> void
{
    const auto now = BootClock::now();
    while (!waiting_.empty() && waiting_.front().sendBy_ <= now) {
        auto expired = std::move(waiting_.front());
        waiting_.pop_front();
        if (expired.callback_) {
            expired.callback_(WriteRefused{"not sent to the store in time"});
        }
    }
}

auto OrderedAppender::sendNext() -> void
{
    refuseExpired();
    if (sending_ || stopped_ || waiting_.empty()) {
        return;
    }
    // An epoch announcement is sent in an append of its own: it has no records and uses no sequence number.
    const auto announcesEpoch = waiting_.front().records_.empty();
    std::size_t bytes = 0;
    do {
        bytes += bytesOf(waiting_.front().records_);
        batch_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    } while (!announcesEpoch && !waiting_.empty() && !waiting_.front().records_.empty()
             && bytes + bytesOf(waiting_.front().records_) <= options_.maxBatchBytes_);
    sending_ = true;
    maybeStored_ = false;
    batchSentAt_ = BootClock::now();
    sendBatch();
}

auto OrderedAppender::sendBatch() -> void
{
    AppendRequest request{options_.stream_, {}, {options_.producer_, options_.epoch_, sequence_}, options_.answerTimeout_, freshConnection_};
    for (const auto &pending : batch_) {
        request.records_.insert(request.records_.end(), pending.records_.begin(), pending.records_.end());
    }
    store_.append_(std::move(request), [weak = weak_from_this()](const AppendResult &result) {
        if (const auto self = weak.lock(); self && !self->stopped_) {
            self->onResult(result);
        }
    });
}

auto OrderedAppender::onResult(const AppendResult &result) -> void
{
    if (const auto *appended = std::get_if<Appended>(&result)) {
        freshConnection_ = false;
        const auto records = std::accumulate(batch_.begin(), batch_.end(), std::uint64_t(0), [](std::uint64_t sum, const Pending &pending) {
            return sum + pending.records_.size();
        });
        finish(WriteStored{appended->offset_, appended->offset_ + records});
    } else if (std::holds_alternative<AppendFenced>(result)) {
        finish(WriteFenced{});
    } else if (const auto *outOfSequence = std::get_if<AppendOutOfSequence>(&result)) {
        // The store already expects the next number: an earlier attempt was executed, but the store no longer keeps its result.
        if (maybeStored_ && outOfSequence->expected_ == sequence_ + 1) {
            finish(WriteStored{});
            return;
        }
        LogLine(LogSeverity::Warning, "append_out_of_sequence")
            .with("topic", options_.stream_.topic_)
            .with("sent", sequence_)
            .with("expected", outOfSequence->expected_);
        sequence_ = outOfSequence->expected_;
        retry(false);
    } else if (const auto *refused = std::get_if<AppendRefused>(&result)) {
        if (options_.refusals_ == RefusalPolicy::Report && !maybeStored_) {
            finish(WriteRefused{refused->reason_});
        } else {
            logRefusal(refused->reason_);
            retry(freshConnection_);
        }
    } else {
        maybeStored_ = true;
        LogLine(LogSeverity::Warning, "append_unanswered")
            .with("topic", options_.stream_.topic_)
            .with("sequence", sequence_)
            .with("reason", std::get<AppendUnknown>(result).reason_);
        retry(true);
    }
}

auto OrderedAppender::finish(const WriteResult &result) -> void
{
    auto batch = std::move(batch_);
    batch_.clear();
    sending_ = false;
    const auto announcedEpoch = batch.size() == 1 && batch.front().records_.empty();
    if (std::holds_alternative<WriteStored>(result) && !announcedEpoch) {
        ++sequence_;
    }
    const auto self = shared_from_this();
    for (auto &pending : batch) {
        if (pending.callback_) {
            pending.callback_(result);
        }
    }
    if (std::holds_alternative<WriteFenced>(result)) {
        // All queued writes have the same epoch, so the store would fence them too.
        auto waiting = std::move(waiting_);
        waiting_.clear();
        for (auto &pending : waiting) {
            if (pending.callback_) {
                pending.callback_(WriteFenced{});
            }
        }
        stopped_ = true;
        return;
    }
    sendNext();
}

auto OrderedAppender::logRefusal(const std::string &reason) -> void
{
    const auto now = BootClock::now();
    if (now - refusalLoggedAt_ < RefusalLogInterval) {
        return;
    }
    refusalLoggedAt_ = now;
    std::size_t records = 0;
    std::size_t bytes = 0;
    for (const auto &pending : batch_) {
        records += pending.records_.size();
        bytes += bytesOf(pending.records_);
    }
    LogLine(LogSeverity::Warning, "append_refused")
        .with("topic", options_.stream_.topic_)
        .with("sequence", sequence_)
        .with("reason", reason)
        .with("records", records)
        .with("bytes", bytes)
        .with("age_ms", inFlightAge(now).count());
}

auto OrderedAppender::retry(bool freshConnection) -> void
{
    freshConnection_ = freshConnection;
    schedule_(options_.retryPause_, [weak = weak_from_this()] {
        if (const auto self = weak.lock(); self && !self->stopped_) {
            self->sendBatch();
        }
    });
}
} // namespace Marjoramfold
