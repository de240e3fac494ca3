#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/placement/placementtypes.h"
#include "marjoramfold/rules/ruleset.h"

#include <chrono>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace Marjoramfold
{
/// Gangs of this size span several workers and would starve behind small jobs without a reservation.
constexpr int LargeGangAccelerators = 32;

/// Phase of a gang between reservation and the release of its last member.
enum class GangPhase {
    Idle,
    /// Workers are reserved; waiting until the gangs evicted for it have stopped.
    AwaitingEvictions,
    Holding,
    Starting,
    Confirming,
    Running,
    Stopping,
};

enum class MemberState {
    Holding,
    Held,
    Starting,
    Started,
    Running,
    Stopping,
    Ended,
    Released,
};

/// One task of a gang on its worker.
struct GangMember {
    WorkerIndex worker_ = 0;
    MemberState state_ = MemberState::Holding;
    /// Upper bound on the lease expiry: from then on the worker no longer runs the task, unless renewed.
    SteadyTime leaseExpiryBound_{};
    /// Run time saved by a checkpoint of this member.
    std::chrono::milliseconds saved_{0};
    /// When the task was throttled for its memory use.
    std::optional<SteadyTime> throttledAt_;

    [[nodiscard]] auto holdsResources() const -> bool
    {
        return state_ != MemberState::Ended && state_ != MemberState::Released;
    }
};

/// Next state of a job once all its members are released.
struct AfterStop {
    JobState state_ = JobState::Waiting;
    std::string reason_;
    std::optional<RuleLine> rule_;
    std::chrono::milliseconds retryDelay_{0};
    /// The end of the job was already reported.
    bool reported_ = false;
};

/// Reserved placement of a gang that is stopped for a move.
struct Destination {
    ZoneIndex zone_ = 0;
    GangPlacement placement_;
    bool guaranteed_ = false;
};

/// Sort key of a waiting job; smaller goes first.
struct QueueKey {
    bool isNotUrgent_ = true;
    double score_ = 0;
    GangIndex job_ = 0;
};

[[nodiscard]] inline auto operator<(const QueueKey &one, const QueueKey &other) -> bool
{
    return std::tie(one.isNotUrgent_, one.score_, one.job_) < std::tie(other.isNotUrgent_, other.score_, other.job_);
}

/// A job and, while placed, its gang.
struct JobRecord {
    JobSpec spec_;
    GangIndex index_ = 0;
    SteadyTime submitted_{};
    std::uint32_t attempt_ = 0;
    /// Run time saved by checkpoints.
    std::chrono::milliseconds progress_{0};
    JobState state_ = JobState::Waiting;
    std::string reason_;
    std::optional<RuleLine> rule_;

    /// Resources reserved per task; may differ from the declared ones after earlier runs.
    Resources reserved_;
    /// Expected run time of the whole job; saved progress is not subtracted.
    std::chrono::milliseconds expected_{0};
    /// One standard deviation above the expected run time.
    std::chrono::milliseconds pessimistic_{0};
    std::optional<QueueKey> queueKey_;

    GangPhase phase_ = GangPhase::Idle;
    ZoneIndex zone_ = 0;
    std::vector<GangMember> members_;
    bool guaranteed_ = false;
    /// Members that have not answered the command of the current phase.
    int unanswered_ = 0;
    /// Members that still hold their reservation.
    int holding_ = 0;
    SteadyTime phaseSince_{};
    SteadyTime runningSince_{};
    std::optional<SteadyTime> timer_;
    AfterStop afterStop_;
    /// Set while the gang is being moved.
    std::optional<Destination> destination_;

    /// Availability zone of another scheduler that gets the job once it holds no worker.
    std::optional<AvailabilityZoneId> withdrawnTo_;
    /// Largest reported memory use of any task.
    std::int64_t peakMemoryMb_ = 0;

    int startFailures_ = 0;
    int runFailures_ = 0;
    int renewFailures_ = 0;
    SteadyTime lastRenewFailure_{};
    std::vector<WorkerIndex> failedWorkers_;

    [[nodiscard]] auto shape() const -> GangShape
    {
        return {reserved_, spec_.gangSize_, spec_.adjacency_};
    }

    /// Large jobs get a reservation while they wait.
    [[nodiscard]] auto isLarge() const -> bool
    {
        return accelerators() >= LargeGangAccelerators;
    }

    /// Urgent jobs may evict any work that is not guaranteed.
    [[nodiscard]] auto isUrgent() const -> bool
    {
        return spec_.priority_ == PriorityClass::Urgent;
    }

    /// Accelerators of all tasks together.
    [[nodiscard]] auto accelerators() const -> int
    {
        return reserved_.accelerators_ * spec_.gangSize_;
    }
};
} // namespace Marjoramfold
