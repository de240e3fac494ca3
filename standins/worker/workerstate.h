#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/worker/workermessages.h"

#include <map>
#include <vector>

namespace Marjoramfold::Standins
{
/// How a stand-in worker misbehaves; set by tests.
struct WorkerFaults {
    /// Every start ends in a failure of the task.
    bool failEveryTask_ = false;
    bool leaving_ = false;
};

/// What a task's payload asks of the stand-in; absent fields take the defaults.
struct SimulatedTask {
    std::chrono::milliseconds runTime_{1'000};
    std::chrono::milliseconds checkpointTime_{100};
    std::int64_t memoryMb_ = -1;
    bool fails_ = false;
};

/// State of a stand-in worker: leases, epochs and simulated tasks, with the time passed in.
class WorkerState
{
public:
    WorkerState(Resources capacity, RackId rack, std::chrono::milliseconds usageLag);

    /// Takes over an epoch; false when it is lower than one seen before.
    auto acceptEpoch(Epoch epoch) -> bool;

    /// Carries out one command. A Stop with a running task answers by finishing later: see isStopping().
    auto handle(const WorkerCommand &command, SteadyTime now) -> WorkerCommandResult;

    /// Lets leases lapse and simulated tasks end.
    auto advance(SteadyTime now) -> void;

    /// True while a stopped task still writes its checkpoint.
    [[nodiscard]] auto isStopping(const TaskId &task) const -> bool;

    [[nodiscard]] auto progressOf(const TaskId &task) const -> std::chrono::milliseconds;

    /// The inventory; ended tasks whose end a caller has seen (`seen`) are dropped from it.
    [[nodiscard]] auto inventory(SteadyTime now) const -> WorkerInventory;

    /// Forgets ended tasks whose end a caller has seen.
    auto forgetEnded(std::uint64_t seenVersion) -> void;

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
        /// Progress at the start, and the progress that a checkpoint saved.
        std::chrono::milliseconds base_{0};
        std::chrono::milliseconds saved_{0};
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
