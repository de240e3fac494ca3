#pragma once

#include "marjoramfold/scheduling/jobrecord.h"

#include <memory>
#include <set>
#include <unordered_map>
#include <utility>

namespace Marjoramfold
{
/// All jobs that have not ended, by id and by handle, with one timer per job.
class JobTable
{
public:
    /// The job must not be in the table.
    auto add(const JobSpec &spec) -> JobRecord &;

    /// Returns null for an unknown id.
    [[nodiscard]] auto find(const JobId &id) -> JobRecord *;
    [[nodiscard]] auto find(const JobId &id) const -> const JobRecord *;

    /// The handle must be in use.
    [[nodiscard]] auto at(GangIndex index) -> JobRecord &
    {
        return *jobs_[index];
    }

    [[nodiscard]] auto at(GangIndex index) const -> const JobRecord &
    {
        return *jobs_[index];
    }

    /// The handle of a removed job may be reused.
    auto remove(JobRecord &job) -> void;

    /// Replaces the timer of a job.
    auto setTimer(JobRecord &job, SteadyTime time) -> void;
    auto clearTimer(JobRecord &job) -> void;

    /// Clears the earliest due timer and returns its job, or null.
    [[nodiscard]] auto takeDue(SteadyTime now) -> JobRecord *;

    /// Number of handles, including unused ones.
    [[nodiscard]] auto slotCount() const -> std::size_t
    {
        return jobs_.size();
    }

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
