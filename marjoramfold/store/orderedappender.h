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
/// The records of an append request are stored.
struct WriteStored {
    std::uint64_t offset_ = 0;
};

/// The records were not stored and never will be.
struct WriteRefused {
    std::string reason_;
};

/// The appender was deposed by a higher epoch; the records were not stored.
struct WriteFenced {
};

using WriteResult = std::variant<WriteStored, WriteRefused, WriteFenced>;

/// What the appender does when the store surely refused an append.
enum class RefusalPolicy : std::uint8_t {
    /// Tells the writer, which can answer its caller at once.
    Report,
    /// Tries again until the append is stored or the appender is deposed.
    Retry,
};

/// Times and limits of an appender.
struct AppenderOptions {
    StreamId stream_;
    std::string producer_;
    std::uint64_t epoch_ = 1;
    RefusalPolicy refusals_ = RefusalPolicy::Report;
    /// Longest wait for one answer; above the slowest answers of a store that still works.
    std::chrono::milliseconds answerTimeout_{900};
    std::chrono::milliseconds retryPause_{60};
    /// Largest body of one append in bytes.
    std::size_t maxBatchBytes_ = 1U << 20U;
};

/// Appends records of one producer in order, one append at a time; records that arrive meanwhile form the next append.
///
/// An append without an answer is repeated with the same sequence number on a new connection, so it is stored at most once.
class OrderedAppender : public std::enable_shared_from_this<OrderedAppender>
{
public:
    using Callback = std::function<void(WriteResult)>;
    /// Runs a function after a pause, on the thread of the appender.
    using Schedule = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

    OrderedAppender(StreamStore store, Schedule schedule, AppenderOptions options);

    /// Appends records that belong together. The callback may be empty.
    auto write(std::vector<KeyedRecord> records, Callback callback) -> void;

    /// As write(), but withdrawn at a time when it has not been sent yet. Once sent, it runs to its end.
    auto writeUntil(std::vector<KeyedRecord> records, BootTime sendBy, Callback callback) -> void;

    /// Sets the epoch at the store before the first records.
    auto announceEpoch(Callback callback) -> void;

    /// Ends all activity; callbacks that have not run are dropped.
    auto stop() -> void;

    /// Requests without a result.
    [[nodiscard]] auto backlog() const -> std::size_t;

    /// Time since the append in progress was first sent; zero when none is.
    [[nodiscard]] auto inFlightAge(BootTime now) const -> std::chrono::milliseconds;

private:
    struct Pending {
        std::vector<KeyedRecord> records_;
        Callback callback_;
        BootTime sendBy_ = BootTime::max();
    };

    auto sendNext() -> void;
    auto dropExpired() -> void;
    auto sendBatch() -> void;
    auto onResult(const AppendResult &result) -> void;
    auto finish(const WriteResult &result) -> void;
    auto retry(bool freshConnection) -> void;

    StreamStore store_;
    Schedule schedule_;
    AppenderOptions options_;
    std::deque<Pending> waiting_;
    std::vector<Pending> batch_;
    std::uint64_t sequence_ = 0;
    bool sending_ = false;
    /// An earlier try of the batch may have been carried out.
    bool maybeStored_ = false;
    bool freshConnection_ = false;
    bool stopped_ = false;
    BootTime batchSentAt_{};
};
} // namespace Marjoramfold
