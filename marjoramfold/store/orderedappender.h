#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/store/streamstore.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// The records of a write are stored.
struct WriteStored {
    std::uint64_t offset_ = 0;
    /// Offset behind the append that contains them; 0 if the store no longer told it.
    std::uint64_t end_ = 0;
};

/// The records are not stored and will not be.
struct WriteRefused {
    std::string reason_;
};

/// The producer has a higher epoch; the records were not stored.
struct WriteFenced {
};

using WriteResult = std::variant<WriteStored, WriteRefused, WriteFenced>;

/// What the appender does when the store has definitely rejected an append.
enum class RefusalPolicy : std::uint8_t {
    /// Returns WriteRefused, so that the caller can be answered at once.
    Report,
    /// Retries until the append is stored or fenced by a higher epoch.
    Retry,
};

/// Timing and limits of an OrderedAppender.
struct AppenderOptions {
    StreamId stream_;
    std::string producer_;
    std::uint64_t epoch_ = 1;
    RefusalPolicy refusals_ = RefusalPolicy::Report;
    /// Timeout of one append; above the slowest answers of a working store.
    std::chrono::milliseconds answerTimeout_{900};
    std::chrono::milliseconds retryPause_{60};
    /// Largest body of one append in bytes; half of the store's limit, so that one append does not occupy the partition for long.
    std::size_t maxBatchBytes_ = MaxAppendBytes / 2;
};

/// Appends records of one producer in order, one append at a time. Records written meanwhile are batched into the next append.
///
/// An unanswered append is retried with the same sequence number on a new connection, so it is stored at most once.
class OrderedAppender : public std::enable_shared_from_this<OrderedAppender>
{
public:
    using Callback = std::function<void(WriteResult)>;
    /// Runs a function after a pause, on the appender's thread.
    using Schedule = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

    OrderedAppender(StreamStore store, Schedule schedule, AppenderOptions options);

    /// Appends records atomically. The callback may be empty.
    auto write(std::vector<KeyedRecord> records, Callback callback) -> void;

    /// Appends records in their order, in as many appends as their size needs. The callback gets the result of the last one.
    auto writeInOrder(std::vector<KeyedRecord> records, Callback callback) -> void;

    /// Like write(), but returns WriteRefused if the records were not sent by `sendBy`. Once sent, they are no longer withdrawn.
    auto writeUntil(std::vector<KeyedRecord> records, BootTime sendBy, Callback callback) -> void;

    /// Like write(), but sends the records before all waiting ones, so that a backlog does not delay them. They must not depend on those.
    auto writeAhead(std::vector<KeyedRecord> records, Callback callback) -> void;

    /// Sets the producer's epoch at the store before the first records are written.
    auto announceEpoch(Callback callback) -> void;

    /// Stops sending and discards pending callbacks.
    auto stop() -> void;

    /// Number of writes without a result.
    [[nodiscard]] auto backlog() const -> std::size_t;

    /// Time since the append in progress was first sent; zero without one.
    [[nodiscard]] auto inFlightAge(BootTime now) const -> std::chrono::milliseconds;

private:
    struct Pending {
        std::vector<KeyedRecord> records_;
        Callback callback_;
        BootTime sendBy_ = BootTime::max();
    };

    auto sendNext() -> void;
    auto refuseExpired() -> void;
    auto sendBatch() -> void;
    auto onResult(const AppendResult &result) -> void;
    auto finish(const WriteResult &result) -> void;
    auto retry(bool freshConnection) -> void;
    /// Logs that the store rejects the append in progress, at most once in an interval.
    auto logRefusal(const std::string &reason) -> void;

    StreamStore store_;
    Schedule schedule_;
    AppenderOptions options_;
    std::deque<Pending> waiting_;
    std::vector<Pending> batch_;
    std::uint64_t sequence_ = 0;
    bool sending_ = false;
    /// An earlier attempt to append the batch may have been executed.
    bool maybeStored_ = false;
    bool freshConnection_ = false;
    bool stopped_ = false;
    BootTime batchSentAt_{};
    BootTime refusalLoggedAt_{};
};
} // namespace Marjoramfold
