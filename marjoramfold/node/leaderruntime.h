#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/node/platformbinding.h"
#include "marjoramfold/store/orderedappender.h"
#include "marjoramfold/store/streamfollower.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace Marjoramfold
{
/// What a leader needs from its instance.
struct LeaderContext {
    PlatformBinding binding_;
    DispatchOptions dispatch_;
    std::string instance_;
    std::uint64_t process_ = 0;
    std::function<const OperatorConfig &()> directory_;
    std::function<const std::unordered_set<std::string> &()> evacuatedZones_;
    std::function<std::chrono::milliseconds()> wallNow_;
    std::function<void(std::chrono::milliseconds, std::function<void()>)> schedule_;
    /// A higher epoch is in force.
    std::function<void()> deposed_;
    /// The store has not confirmed for too long that this leader still leads.
    std::function<void()> unconfirmed_;
};

/// Everything that exists only while this instance leads: takes over the recorded state, then runs the scheduler.
class LeaderRuntime : public std::enable_shared_from_this<LeaderRuntime>
{
public:
    LeaderRuntime(LeaderContext context, std::uint64_t epoch, JobFeed &feed);

    /// Bars the former leader from the store, loads what it recorded, and begins.
    auto start() -> void;

    /// Ends without a word to the workers; a successor finds all in the store.
    auto stop() -> void;

    /// Records that this leader has stopped, so that the others need not wait. The callback runs when that is stored or fails.
    auto resign(std::function<void()> callback) -> void;

    auto onSubmitted(const Submission &submission) -> void;
    auto onCancelled(const JobId &id) -> void;
    auto onForgotten(const JobId &id) -> void;
    auto onDirectoryChanged() -> void;

    /// The scheduler; for metrics and tests.
    [[nodiscard]] auto scheduler() const -> const FleetScheduler &;

private:
    auto loadProgress(const std::string &afterKey) -> void;
    auto onWorkerRecords(const std::vector<StoredRecord> &records, bool loaded) -> void;
    auto beginWhenReady() -> void;
    auto renew() -> void;
    auto tick() -> void;
    auto dropExpired() -> void;
    auto provenRecently() const -> bool;
    [[nodiscard]] auto guardedCalls() -> WorkerCalls;
    [[nodiscard]] auto appenderFor(const StreamId &stream) -> std::shared_ptr<OrderedAppender>;
    [[nodiscard]] auto schedulerHooks() -> SchedulerHooks;

    LeaderContext context_;
    std::uint64_t epoch_;
    JobFeed &feed_;
    std::shared_ptr<OrderedAppender> feedAppender_;
    std::shared_ptr<OrderedAppender> progressAppender_;
    std::shared_ptr<StreamFollower> workers_;
    std::unique_ptr<FleetScheduler> scheduler_;
    std::vector<StoredRecord> progress_;
    std::unordered_map<WorkerId, bool> listed_;
    bool progressLoaded_ = false;
    bool workersLoaded_ = false;
    bool reloadingWorkers_ = false;
    bool begun_ = false;
    bool stopped_ = false;
    BootTime startedAt_;
    /// Start of the newest append that the store confirmed under this epoch.
    BootTime provenAt_;
    BootTime lastDrop_{};
};
} // namespace Marjoramfold
