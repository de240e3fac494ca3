#pragma once

#include "marjoramfold/scheduling/evictionpolicy.h"
#include "marjoramfold/scheduling/joblifecycle.h"

#include <optional>
#include <vector>

namespace Marjoramfold
{
/// Reserves workers for the head-of-line large job of each availability zone.
///
/// Until the large job can start, reserved workers are backfilled: with work that can be evicted without loss, and with a limited number
/// of jobs that are expected to end before all reserved workers are available.
class LargeJobReservations
{
public:
    LargeJobReservations(SchedulerState &state, JobLifecycle &lifecycle, const EvictionPolicy &evictions);

    /// Updates the reservation of one availability zone, round-robin, and returns that zone.
    auto update() -> ZoneIndex;

    [[nodiscard]] auto isReserved(WorkerIndex worker) const -> bool;

    /// Whether a job may start on reserved workers: it has the reservation, can be evicted without loss, or ends in time.
    [[nodiscard]] auto mayBackfill(const JobRecord &job, ZoneIndex zone) const -> bool;

    /// Counts started jobs that block reserved workers because they cannot be evicted without loss.
    auto onStart(const JobRecord &job) -> void;

    /// The job with the reservation in an availability zone, or null.
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
    auto reserveWorkers(const JobRecord &job, const std::vector<Availability> &byAvailability, Reservation &reservation) const -> bool;
    auto mark(const Reservation &reservation, bool reserved) -> void;

    SchedulerState *state_;
    JobLifecycle *lifecycle_;
    const EvictionPolicy *evictions_;
    std::vector<Reservation> reservations_;
    std::vector<bool> reserved_;
    ZoneIndex next_ = 0;
};
} // namespace Marjoramfold
