#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/store/streamstore.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace Marjoramfold
{
/// Timing of a StreamFollower.
struct FollowerOptions {
    StreamId stream_;
    /// Longest wait of a read for new records. It also limits how far currentAsOf() lags behind when no records arrive.
    std::chrono::milliseconds wait_{1200};
    /// Pause after a read that returned records; limits the rate of calls to the store.
    std::chrono::milliseconds readPause_{0};
    /// Pause used instead while reads are expedited.
    std::chrono::milliseconds shortReadPause_{30};
    /// Time allowed for an answer beyond the wait.
    std::chrono::milliseconds answerTimeout_{700};
    /// Largest timeout of a page of a load. It doubles from answerTimeout_ with each failed page, because the answers of a busy store take
    /// longer the more instances load at once, and a request that is given up has used the store's bandwidth in vain.
    std::chrono::milliseconds maxLoadTimeout_{5600};
    std::chrono::milliseconds retryPause_{100};
};

/// Loads the newest records of a stream and then follows it without a gap. Records are delivered in pages, at least once.
class StreamFollower : public std::enable_shared_from_this<StreamFollower>
{
public:
    /// Receives the records of one page and whether the initial load is complete after it.
    using OnRecords = std::function<void(const std::vector<StoredRecord> &, bool loaded)>;
    /// Called before each load: the first one, and one after the store deleted unread history. Keys missing from the load were deleted.
    using OnReload = std::function<void()>;
    using Schedule = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

    StreamFollower(StreamStore store, Schedule schedule, FollowerOptions options, OnRecords onRecords, OnReload onReload);

    /// Starts the initial load.
    auto start() -> void;

    /// Stops reading and discards pending callbacks.
    auto stop() -> void;

    /// Skips the current pause and uses the short pause for `duration`, for callers whose answer depends on the newest records.
    auto expedite(std::chrono::milliseconds duration = std::chrono::milliseconds(0)) -> void;

    /// Calls back with true once all records stored before this call are delivered, or with false after `timeout`.
    auto whenCurrent(std::chrono::milliseconds timeout, std::function<void(bool)> callback) -> void;

    /// Changes the pause after reads and their longest wait for records.
    auto setReadTiming(std::chrono::milliseconds readPause, std::chrono::milliseconds wait) -> void;

    /// Start of the newest read that reached the end of the stream: every record stored before it has been delivered.
    [[nodiscard]] auto currentAsOf() const -> BootTime;

    /// True after the first complete load.
    [[nodiscard]] auto isLoaded() const -> bool;

private:
    struct Waiter {
        std::uint64_t id_ = 0;
        BootTime since_;
        std::function<void(bool)> callback_;
    };

    auto load(const std::string &afterKey) -> void;
    /// Requests the page of the load that failed once more.
    auto resumeLoad() -> void;
    auto onNewest(Result<NewestPage> result, BootTime startedAt) -> void;
    auto read() -> void;
    auto onRead(Result<ReadPage> result, BootTime startedAt) -> void;
    auto retry(const Error &error) -> void;
    auto runAfter(std::chrono::milliseconds pause, void (StreamFollower::*step)()) -> void;
    auto restart() -> void;
    auto markCurrent(BootTime startedAt) -> void;

    StreamStore store_;
    Schedule schedule_;
    FollowerOptions options_;
    OnRecords onRecords_;
    OnReload onReload_;
    std::vector<Waiter> waiters_;
    std::uint64_t nextWaiter_ = 1;
    std::uint64_t nextOffset_ = 0;
    /// Incremented by each scheduled step and read, so that callbacks of superseded ones are ignored.
    std::uint64_t generation_ = 0;
    std::string afterKey_;
    std::chrono::milliseconds loadTimeout_{0};
    bool firstPage_ = true;
    bool loaded_ = false;
    bool loading_ = false;
    /// The read in progress was started for waiters and does not wait for records.
    bool readingForWaiters_ = false;
    bool stopped_ = false;
    bool failing_ = false;
    /// The pause after a read is in progress.
    bool pausing_ = false;
    /// The short read pause applies until this time.
    BootTime expediteUntil_{};
    BootTime currentAsOf_{};
    BootTime loadStartedAt_{};
};
} // namespace Marjoramfold
