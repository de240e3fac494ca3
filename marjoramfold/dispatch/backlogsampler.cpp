#include "marjoramfold/dispatch/backlogsampler.h"

#include "marjoramfold/dispatch/joborder.h"

#include <algorithm>
#include <limits>

namespace Marjoramfold
{
namespace
{
/// Shapes of a queue whose free capacity is searched for. On a full fleet one of the first is blocked; the limit bounds the search otherwise.
constexpr std::size_t MaxShapeSearches = 32;

auto hasLabel(const WorkerEntry &entry, const std::string &label) -> bool
{
    return label.empty() || std::find(entry.labels_.begin(), entry.labels_.end(), label) != entry.labels_.end();
}

/// Number of tasks that fit into a capacity, up to a limit per worker (0 for none).
auto countTasks(const ResourceVector &capacity, const ResourceVector &task, std::uint32_t limit) -> std::uint64_t
{
    auto count = std::numeric_limits<std::int64_t>::max();
    const auto fit = [&count](std::int64_t available, std::int64_t needed) {
        if (needed > 0) {
            count = std::min(count, std::max<std::int64_t>(available, 0) / needed);
        }
    };
    fit(capacity.milliCores_, task.milliCores_);
    fit(capacity.memoryMb_, task.memoryMb_);
    fit(capacity.accelerators_, task.accelerators_);
    // A worker is never given more runs of one step than a step can have tasks.
    const auto most = limit == 0 ? std::numeric_limits<std::uint32_t>::max() : limit;
    return std::min<std::uint64_t>(static_cast<std::uint64_t>(count), most);
}
} // namespace

BacklogSampler::BacklogSampler(BacklogSource source)
    : source_(std::move(source))
{
}

auto BacklogSampler::take() -> BacklogSample
{
    addWorkers();
    for (const auto &[id, job] : source_.openJobs_) {
        const auto *queue = source_.config_.queueNamed(job->submission_.queue_);
        if (queue != nullptr && !queue->requiresAdmissionCheck_ && !job->isClosed()) {
            addJob(*job, *queue);
        }
    }
    for (auto &[name, totals] : queues_) {
        totals.sample_.typicalPath_ = totals.pathSum_ / std::max<std::int64_t>(totals.jobs_, 1);
        totals.sample_.blockedTask_ = smallestBlockedTask(totals);
        sample_.queues_.push_back(totals.sample_);
    }
    for (const auto &[pool, work] : source_.endedWork_) {
        sample_.pools_[pool].ended_ = work;
    }
    return std::move(sample_);
}

auto BacklogSampler::addWorkers() -> void
{
    for (const auto &[id, session] : source_.sessions_) {
        const auto &entry = session->entry_;
        // Workers that do not answer at the moment count, since they may return long before the forecast time.
        if (!session->listed_ || entry.draining_ || source_.evacuatedZones_.contains(entry.zone_.value())) {
            continue;
        }
        workers_[entry.pool_].push_back(session.get());
        sample_.pools_[entry.pool_].room_ += workOf(entry.capacity_, std::chrono::seconds(1), 1);
        auto &kinds = kinds_[entry.pool_];
        const auto same = std::find_if(kinds.begin(), kinds.end(), [&entry](const WorkerKind &kind) {
            return kind.entry_->capacity_ == entry.capacity_ && kind.entry_->labels_ == entry.labels_;
        });
        if (same == kinds.end()) {
            kinds.push_back({&entry, 1});
        } else {
            ++same->count_;
        }
    }
}

auto BacklogSampler::addJob(const TrackedJob &job, const QueueConfig &queue) -> void
{
    const auto &plan = job.submission_.plan_;
    const auto ratio = source_.ratioOf_(queue.name_);
    auto &totals = queues_[queue.name_];
    totals.sample_.queue_ = &queue;
    totals.sample_.ratio_ = ratio;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences_.size() && dueTime(plan, occurrence) <= source_.wallNow_; ++occurrence) {
        const auto &state = job.occurrences_[occurrence];
        if (state.done_ || plan.steps_.empty()) {
            continue;
        }
        OccurrenceState nothingDone;
        nothingDone.steps_.resize(plan.steps_.size());
        totals.pathSum_ += remainingCriticalPath(plan, nothingDone, ratio);
        ++totals.jobs_;
        const auto lateness = rankStep(job, occurrence, 0, queue, ratio, source_.wallNow_).lateness_;
        for (std::size_t step = 0; step < state.steps_.size(); ++step) {
            const auto taken = state.steps_[step].done_ + state.steps_[step].active_;
            if (!plan.steps_[step].service_ && taken < plan.steps_[step].count_) {
                addStep(totals, plan.steps_[step], plan.steps_[step].count_ - taken, lateness);
            }
        }
    }
}

auto BacklogSampler::addStep(QueueTotals &totals, const StepPlan &step, std::uint32_t waiting, int lateness) -> void
{
    const Shape shape{step.task_.accelerators_, step.task_.milliCores_, step.task_.memoryMb_, step.requiredLabel_, step.maxPerWorker_};
    auto &sample = totals.sample_;
    // Jobs that can no longer be of use go after all others, and work that the workers cannot hold keeps no others waiting.
    if (lateness > 1 || !canHold(sample.queue_->pool_, step, shape)) {
        return;
    }
    (lateness == 0 ? sample.timely_ : sample.late_) += workOf(step.task_, expectedTime(step, sample.ratio_), waiting);
    totals.waiting_[shape] += waiting;
}

auto BacklogSampler::canHold(const std::string &pool, const StepPlan &step, const Shape &shape) -> bool
{
    const auto [found, added] = capacities_.try_emplace({pool, shape}, 0);
    if (added) {
        const auto &kinds = kinds_[pool];
        // Work that needs a label waits for some of the workers only, while others take the work behind it.
        const auto anyWorker = std::all_of(kinds.begin(), kinds.end(), [&step](const WorkerKind &kind) {
            return hasLabel(*kind.entry_, step.requiredLabel_);
        });
        for (const auto &kind : kinds) {
            found->second += anyWorker ? kind.count_ * countTasks(kind.entry_->capacity_, step.task_, step.maxPerWorker_) : 0;
        }
    }
    return found->second >= (step.gang_ ? step.count_ : 1);
}

auto BacklogSampler::smallestBlockedTask(const QueueTotals &totals) const -> std::optional<ResourceVector>
{
    const auto workers = workers_.find(totals.sample_.queue_->pool_);
    if (workers == workers_.end()) {
        return std::nullopt;
    }
    std::size_t searches = 0;
    for (const auto &[shape, waiting] : totals.waiting_) {
        const ResourceVector task{std::get<1>(shape), std::get<2>(shape), std::get<0>(shape)};
        std::uint64_t free = 0;
        for (const auto *session : workers->second) {
            free += countTasks(session->freeCapacity(), task, 0);
            if (free >= waiting) {
                break;
            }
        }
        if (free < waiting) {
            return task;
        }
        if (++searches == MaxShapeSearches) {
            break;
        }
    }
    return std::nullopt;
}
} // namespace Marjoramfold
