#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/dispatch/fleetscheduler.h"
#include "marjoramfold/node/backlogpublisher.h"
#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/node/platformbinding.h"
#include "marjoramfold/store/orderedappender.h"
#include "marjoramfold/store/streamfollower.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>

namespace Marjoramfold
{
/// Dependencies of a LeaderRuntime.
struct LeaderContext {
    PlatformBinding binding_;
    DispatchOptions dispatch_;
    std::string instance_;
    std::uint64_t process_ = 0;
    std::function<const OperatorConfig &()> config_;
    std::function<const std::unordered_set<std::string> &()> evacuatedZones_;
    std::function<std::chrono::milliseconds()> wallNow_;
    std::function<void(std::chrono::milliseconds, std::function<void()>)> schedule_;
    /// Measures the work of the control thread; null for no measurement.
    WorkMeter *workMeter_ = nullptr;
    /// Called when a higher epoch is in force.
    std::function<void()> fenced_;
    /// Called when the store has not confirmed the leadership within the time limit in DispatchOptions.
    std::function<void()> leadershipExpired_;
};

/// The leader's part of an instance: restores the recorded state, then runs the scheduler. Exists only while the instance leads.
class LeaderRuntime : public std::enable_shared_from_this<LeaderRuntime>
{
public:
    LeaderRuntime(LeaderContext context, std::uint64_t epoch, JobFeed &feed);

    /// Fences the former leader at the store, loads the recorded progress, and starts scheduling.
    auto start() -> void;

    /// Stops without calling the workers; the next leader restores the state from the store.
    auto stop() -> void;

    /// Stops scheduling and records the resignation, so that another instance can claim without waiting for the leader timeout.
    /// The callback runs when the record is stored or the write has failed.
    auto resign(std::function<void()> callback) -> void;

    auto onSubmitted(const Submission &submission) -> void;
    auto onCancelled(const JobId &id) -> void;
    auto onRemoved(const JobId &id) -> void;
    auto onConfigChanged() -> void;

    /// For metrics and tests.
    [[nodiscard]] auto scheduler() const -> const FleetScheduler &;

private:
    auto loadProgress(const std::string &afterKey, std::chrono::milliseconds timeout) -> void;
    auto onWorkerRecords(const std::vector<StoredRecord> &records, bool loaded) -> void;
    auto onUnreadableEntry(const WorkerId &id, const Error &error) -> void;
    auto beginWhenReady() -> void;
    /// Until when former leaders may have sent commands; the limit becomes tighter once the feed shows this leader's first renewal.
    [[nodiscard]] auto formerCommands() const -> FormerCommands;
    auto renew() -> void;
    auto tick() -> void;
    auto dropExpiredJobs() -> void;
    [[nodiscard]] auto makeBacklogPublisher() -> std::unique_ptr<BacklogPublisher>;
    /// Takes the settings of queues from the configuration and stores those that differ from the stored ones.
    auto storeQueueSettings() -> void;
    [[nodiscard]] auto queuesWithJobs() const -> std::set<std::string>;
    /// True when the store has confirmed the leadership within the given time.
    [[nodiscard]] auto confirmedWithin(std::chrono::milliseconds time) const -> bool;
    [[nodiscard]] auto confirmedRecently() const -> bool;
    [[nodiscard]] auto guardedCalls() -> WorkerCalls;
    /// Requests no lease when the store has not confirmed the leadership recently, and else ends the renewal's wait in time for the next one.
    auto limitRenewal(RenewCommand &command) const -> void;
    [[nodiscard]] auto appenderFor(const StreamId &stream) -> std::shared_ptr<OrderedAppender>;
    [[nodiscard]] auto schedulerHooks() -> SchedulerHooks;

    LeaderContext context_;
    std::uint64_t epoch_;
    JobFeed &feed_;
    std::shared_ptr<OrderedAppender> feedAppender_;
    std::shared_ptr<OrderedAppender> progressAppender_;
    std::shared_ptr<StreamFollower> workers_;
    std::unique_ptr<FleetScheduler> scheduler_;
    /// Null without DispatchOptions::rejectHopeless_.
    std::unique_ptr<BacklogPublisher> backlog_;
    std::vector<StoredRecord> progress_;
    /// End of the progress stream when its load began; all earlier records are known.
    std::uint64_t progressEnd_ = 0;
    /// Offset of the progress stream before which all records are known to the scheduler.
    std::uint64_t progressKnown_ = 0;
    std::unordered_map<WorkerId, bool> listed_;
    /// Workers whose newest entry cannot be read.
    std::unordered_set<WorkerId> unreadable_;
    bool progressLoaded_ = false;
    bool workersLoaded_ = false;
    bool reloadingWorkers_ = false;
    bool begun_ = false;
    bool stopped_ = false;
    bool renewing_ = false;
    BootTime startedAt_;
    /// When the store confirmed that it rejects the renewals of former leaders.
    std::optional<BootTime> othersFencedAt_;
    /// Time at which the newest renewal stored under this epoch was sent.
    BootTime confirmedAt_;
    /// For how long after `confirmedAt_` leases may be renewed, as that renewal stated.
    std::chrono::milliseconds renewsFor_;
    /// When the store last answered slowly; zero for never.
    BootTime slowAt_{};
    BootTime lastExpiryCheck_{};
    /// Records of queue settings that were sent lately, by key.
    std::map<std::string, std::string> sentSettings_;
    BootTime settingsSentAt_{};
};
} // namespace Marjoramfold
