#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/worker/workermessages.h"

#include <map>
#include <vector>

namespace Marjoramfold::Standins
{
/// Faults that tests inject into a stand-in worker.
struct WorkerFaults {
    /// Every started task and every probe fails.
    bool failEveryTask_ = false;
    bool leaving_ = false;
};

/// A simulated task as described by its payload; absent fields keep the defaults.
struct SimulatedTask {
    std::chrono::milliseconds runTime_{1'000};
    std::chrono::milliseconds checkpointTime_{100};
    std::int64_t memoryMb_ = -1;
    bool fails_ = false;
};

/// Leases, epoch and simulated tasks of a stand-in worker. Callers pass the time.
class WorkerState
{
public:
    WorkerState(Resources capacity, RackId rack, std::chrono::milliseconds usageLag);

    /// Stores an epoch; returns false when it is lower than the highest epoch seen.
    auto acceptEpoch(Epoch epoch) -> bool;

    /// Executes one command. The stop of a running task completes later: see isStopping().
    auto handle(const WorkerCommand &command, SteadyTime now) -> WorkerCommandResult;

    /// Ends tasks that finished or failed, whose lease expired, or whose stop is complete.
    auto advance(SteadyTime now) -> void;

    /// Returns true while a stopped task is still writing its checkpoint.
    [[nodiscard]] auto isStopping(const TaskId &task) const -> bool;

    [[nodiscard]] auto progressOf(const TaskId &task) const -> std::chrono::milliseconds;

    /// Returns the inventory, with ended tasks until removeEnded() removes them.
    [[nodiscard]] auto inventory(SteadyTime now) const -> WorkerInventory;

    /// Removes ended tasks that a caller has seen in an inventory; stopped tasks are kept.
    auto removeEnded(std::uint64_t acknowledgedVersion) -> void;

    [[nodiscard]] auto version() const -> std::uint64_t;

    auto setFaults(WorkerFaults faults) -> void;

private:
    struct Task {
        WorkerTaskState state_ = WorkerTaskState::Held;
        Resources resources_;
        SimulatedTask simulated_;
        SteadyTime heldAt_;
        SteadyTime leaseEnd_;
        SteadyTime startedAt_;
        SteadyTime stopAt_;
        /// Progress at the start, and the progress in the last checkpoint.
        std::chrono::milliseconds progressAtStart_{0};
        std::chrono::milliseconds savedProgress_{0};
        bool throttled_ = false;
        std::string reason_;
        std::uint64_t endedVersion_ = 0;
    };

    auto hold(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>;
    auto start(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>;
    auto renew(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>;
    auto stop(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>;
    auto checkpoint(const WorkerCommand &command, SteadyTime now) -> std::optional<Error>;
    auto end(Task &task, WorkerTaskState state, std::string reason) -> void;
    [[nodiscard]] auto findLive(const TaskId &id) -> Task *;
    [[nodiscard]] auto inUse() const -> Resources;
    [[nodiscard]] auto ranFor(const Task &task, SteadyTime now) const -> std::chrono::milliseconds;

    Resources capacity_;
    RackId rack_;
    std::chrono::milliseconds usageLag_;
    WorkerFaults faults_;
    Epoch epoch_;
    std::uint64_t version_ = 1;
    std::map<TaskId, Task> tasks_;
};
} // namespace Marjoramfold::Standins
