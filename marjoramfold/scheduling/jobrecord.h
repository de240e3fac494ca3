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
/// A gang of this many accelerators fills several workers; without a reservation it starves behind small jobs.
constexpr int LargeGangAccelerators = 32;

/// Where a gang stands between its first Hold and the release of its last member.
enum class GangPhase {
    Idle,
    /// Has its workers reserved and waits until the gangs evicted for it are gone.
    AwaitingEvictions,
    Holding,
    Starting,
    Confirming,
    Running,
    Stopping,
};

/// Where one member of a gang stands.
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
    /// From this time on the worker has surely dropped the task if it was not renewed since.
    SteadyTime leaseExpiryBound_{};
    /// Run time saved by a checkpoint of this member.
    std::chrono::milliseconds saved_{0};
    /// Time of the throttle command, if the task was throttled for its memory use.
    std::optional<SteadyTime> throttledAt_;

    /// Whether the member still has its reservation.
    [[nodiscard]] auto holdsResources() const -> bool
    {
        return state_ != MemberState::Ended && state_ != MemberState::Released;
    }
};

/// What happens to a job once all its members are released.
struct AfterStop {
    JobState state_ = JobState::Waiting;
    std::string reason_;
    std::optional<RuleLine> rule_;
    std::chrono::milliseconds retryDelay_{0};
    /// Whether the end of the job was already reported.
    bool reported_ = false;
};

/// Where a gang goes once it is stopped.
struct Destination {
    ZoneIndex zone_ = 0;
    GangPlacement placement_;
    bool guaranteed_ = false;
};

/// Order of a waiting job; smaller goes first.
struct QueueKey {
    bool isNotUrgent_ = true;
    double score_ = 0;
    GangIndex job_ = 0;
};

[[nodiscard]] inline auto operator<(const QueueKey &one, const QueueKey &other) -> bool
{
    return std::tie(one.isNotUrgent_, one.score_, one.job_) < std::tie(other.isNotUrgent_, other.score_, other.job_);
}

/// A job and, while it is placed, its gang.
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

    /// Resources reserved per task; differs from the declaration once use was learned.
    Resources reserved_;
    /// Expected run time of the whole job, without what was saved.
    std::chrono::milliseconds expected_{0};
    /// One standard deviation above the expected run time.
    std::chrono::milliseconds pessimistic_{0};
    std::optional<QueueKey> queueKey_;

    GangPhase phase_ = GangPhase::Idle;
    ZoneIndex zone_ = 0;
    std::vector<GangMember> members_;
    bool guaranteed_ = false;
    /// Members whose answer to the commands of the present phase is missing.
    int unanswered_ = 0;
    /// Members that hold resources.
    int holding_ = 0;
    SteadyTime phaseSince_{};
    SteadyTime runningSince_{};
    std::optional<SteadyTime> timer_;
    AfterStop afterStop_;
    /// Workers that are reserved for the next start of a gang that is being moved.
    std::optional<Destination> destination_;

    /// Availability zone of another scheduler that gets the job as soon as it holds no worker.
    std::optional<AvailabilityZoneId> withdrawnTo_;
    /// Largest memory use of a task that was reported.
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

    /// Whether the gang gets a reservation while it waits.
    [[nodiscard]] auto isLarge() const -> bool
    {
        return accelerators() >= LargeGangAccelerators;
    }

    /// Whether urgent work: it may evict any work that is not guaranteed.
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
