#pragma once

#include "marjoramfold/scheduling/jobrecord.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace Marjoramfold
{
/// All jobs that are not at their end, by identifier and by handle, with one timer for each.
class JobTable
{
public:
    /// Adds a job that is not in the table.
    auto add(const JobSpec &spec) -> JobRecord &;

    /// The job with an identifier, or null.
    [[nodiscard]] auto find(const JobId &id) -> JobRecord *;
    [[nodiscard]] auto find(const JobId &id) const -> const JobRecord *;

    /// The job with a handle, which must be in the table.
    [[nodiscard]] auto at(GangIndex index) -> JobRecord &
    {
        return *jobs_[index];
    }

    [[nodiscard]] auto at(GangIndex index) const -> const JobRecord &
    {
        return *jobs_[index];
    }

    /// Removes a job; its handle may be used again.
    auto remove(JobRecord &job) -> void;

    /// Sets the timer of a job, replacing the one before.
    auto setTimer(JobRecord &job, SteadyTime time) -> void;
    auto clearTimer(JobRecord &job) -> void;

    /// Takes one job whose timer is due, or null.
    [[nodiscard]] auto takeDue(SteadyTime now) -> JobRecord *;

    /// Number of handles ever used; some may be empty.
    [[nodiscard]] auto slotCount() const -> std::size_t
    {
        return jobs_.size();
    }

    /// Whether a handle is in use.
    [[nodiscard]] auto isUsed(GangIndex index) const -> bool
    {
        return jobs_[index] != nullptr;
    }

private:
    std::vector<std::unique_ptr<JobRecord>> jobs_;
    std::vector<GangIndex> unused_;
    std::unordered_map<JobId, GangIndex> byId_;
    std::set<std::pair<SteadyTime, GangIndex>> timers_;
};
} // namespace Marjoramfold
