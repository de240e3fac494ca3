#pragma once

#include "marjoramfold/scheduling/evictionpolicy.h"
#include "marjoramfold/scheduling/joblifecycle.h"

#include <optional>
#include <vector>

namespace Marjoramfold
{
/// Workers kept clear for the longest-waiting large job of each availability zone.
///
/// Reserved workers stay in use until the large job can start: by work that an eviction would not lose, and by at most a few jobs that
/// are expected to end before the rest of the reserved workers is clear.
class LargeJobReservations
{
public:
    LargeJobReservations(SchedulerState &state, JobLifecycle &lifecycle, const EvictionPolicy &evictions);

    /// Chooses the large job and the workers of one availability zone again and tells which; the zones take turns.
    auto update() -> ZoneIndex;

    /// Whether a worker is kept clear.
    [[nodiscard]] auto isReserved(WorkerIndex worker) const -> bool;

    /// Whether a job may start on reserved workers of an availability zone: it can be evicted without loss, or ends in time.
    [[nodiscard]] auto mayBackfill(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Counts a job that started. Jobs that hold up the large job are overtakers.
    auto onStart(const JobRecord &job) -> void;

    /// The job that an availability zone is kept clear for.
    [[nodiscard]] auto findReservedJob(ZoneIndex zone) const -> JobRecord *;

private:
    struct Reservation {
        std::optional<JobId> job_;
        std::vector<WorkerIndex> workers_;
        SteadyTime availableAt_{};
        int blockingBackfills_ = 0;
    };
    struct Availability {
        SteadyTime time_{};
        double evictionCost_ = 0;
        WorkerIndex worker_ = 0;
    };

    auto updateZone(ZoneIndex zone) -> void;
    auto chooseJob(ZoneIndex zone) -> JobRecord *;
    [[nodiscard]] auto isReservedInOtherZone(const JobId &job, ZoneIndex zone) const -> bool;
    [[nodiscard]] auto availabilities(const JobRecord &job, ZoneIndex zone) const -> std::vector<Availability>;
    [[nodiscard]] auto availabilityOf(WorkerIndex worker) const -> Availability;
    auto reserveWorkers(const JobRecord &job, const std::vector<Availability> &byTime, Reservation &reservation) const -> bool;
    auto mark(const Reservation &reservation, bool reserved) -> void;

    SchedulerState *state_;
    JobLifecycle *lifecycle_;
    const EvictionPolicy *evictions_;
    std::vector<Reservation> reservations_;
    std::vector<bool> reserved_;
    ZoneIndex next_ = 0;
};
} // namespace Marjoramfold
