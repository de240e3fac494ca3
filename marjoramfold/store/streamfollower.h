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
/// Times of a follower.
struct FollowerOptions {
    StreamId stream_;
    /// Longest wait of a read for new records; also how old the proof of currency grows.
    std::chrono::milliseconds wait_{1200};
    /// Pause after a read that brought records; it bounds the calls to the store.
    std::chrono::milliseconds readPause_{0};
    /// Pause while records are waited for in a hurry.
    std::chrono::milliseconds shortReadPause_{30};
    /// Longest delay of an answer beyond the wait.
    std::chrono::milliseconds answerTimeout_{700};
    std::chrono::milliseconds retryPause_{100};
};

/// Loads the newest records of a stream and then follows it without a gap. Records are delivered in pages, and one may come twice.
class StreamFollower : public std::enable_shared_from_this<StreamFollower>
{
public:
    /// Records of one page, and whether the initial load is complete after it.
    using OnRecords = std::function<void(const std::vector<StoredRecord> &, bool loaded)>;
    /// Called before records are loaded anew because the history was dropped; keys that the load does not bring are gone.
    using OnReload = std::function<void()>;
    using Schedule = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

    StreamFollower(StreamStore store, Schedule schedule, FollowerOptions options, OnRecords onRecords, OnReload onReload);

    /// Starts to load.
    auto start() -> void;

    /// Ends all activity.
    auto stop() -> void;

    /// Reads at once instead of waiting for the pace, and keeps a short one for a time; a caller's answer depends on the newest records.
    auto expedite(std::chrono::milliseconds time = std::chrono::milliseconds(0)) -> void;

    /// Runs a function once all records are delivered that were stored before now, or at a deadline with false.
    auto whenCurrent(std::chrono::milliseconds deadline, std::function<void(bool)> callback) -> void;

    /// Changes the pause after reads and their longest wait for records.
    auto setReadTiming(std::chrono::milliseconds pace, std::chrono::milliseconds wait) -> void;

    /// Start of the newest read that succeeded: everything stored before it is delivered.
    [[nodiscard]] auto currentAsOf() const -> BootTime;

    /// True after the first load.
    [[nodiscard]] auto isLoaded() const -> bool;

private:
    struct Waiter {
        std::uint64_t id_ = 0;
        BootTime since_;
        std::function<void(bool)> callback_;
    };

    auto load(const std::string &afterKey) -> void;
    auto onNewest(Result<NewestPage> result, BootTime startedAt) -> void;
    auto read() -> void;
    auto onRead(Result<ReadPage> result, BootTime startedAt) -> void;
    auto retry(const Error &error) -> void;
    auto after(std::chrono::milliseconds pause, void (StreamFollower::*step)()) -> void;
    auto restart() -> void;
    auto markCurrent(BootTime startedAt) -> void;

    StreamStore store_;
    Schedule schedule_;
    FollowerOptions options_;
    OnRecords onRecords_;
    OnReload onReload_;
    std::vector<Waiter> waiters_;
    std::uint64_t nextWaiter_ = 1;
    std::uint64_t next_ = 0;
    /// Counts scheduled steps and reads, so that one that was overtaken does nothing.
    std::uint64_t turn_ = 0;
    std::string afterKey_;
    bool firstPage_ = true;
    bool loaded_ = false;
    bool loading_ = false;
    /// A read for waiting callers is in progress.
    bool probing_ = false;
    bool stopped_ = false;
    bool failing_ = false;
    bool pacing_ = false;
    /// The short pace is kept until then.
    BootTime expediteUntil_{};
    BootTime currentAsOf_{};
    BootTime loadStartedAt_{};
};
} // namespace Marjoramfold
