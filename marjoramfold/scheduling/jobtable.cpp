#include "marjoramfold/scheduling/jobtable.h"

namespace Marjoramfold
{
auto JobTable::add(const JobSpec &spec) -> JobRecord &
{
    auto index = static_cast<GangIndex>(jobs_.size());
    if (unused_.empty()) {
        jobs_.emplace_back();
    } else {
        index = unused_.back();
        unused_.pop_back();
    }
    jobs_[index] = std::make_unique<JobRecord>();
    auto &job = *jobs_[index];
    job.spec_ = spec;
    job.index_ = index;
    byId_[spec.id_] = index;
    return job;
}

auto JobTable::find(const JobId &id) -> JobRecord *
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : jobs_[found->second].get();
}

auto JobTable::find(const JobId &id) const -> const JobRecord *
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : jobs_[found->second].get();
}

auto JobTable::remove(JobRecord &job) -> void
{
    clearTimer(job);
    const auto index = job.index_;
    byId_.erase(job.spec_.id_);
    unused_.push_back(index);
    jobs_[index].reset();
}

auto JobTable::setTimer(JobRecord &job, SteadyTime time) -> void
{
    clearTimer(job);
    job.timer_ = time;
    timers_.insert({time, job.index_});
}

auto JobTable::clearTimer(JobRecord &job) -> void
{
    if (job.timer_) {
        timers_.erase({*job.timer_, job.index_});
        job.timer_.reset();
    }
}

auto JobTable::takeDue(SteadyTime now) -> JobRecord *
{
    if (timers_.empty() || timers_.begin()->first > now) {
        return nullptr;
    }
    auto &job = at(timers_.begin()->second);
    clearTimer(job);
    return &job;
}
} // namespace Marjoramfold
