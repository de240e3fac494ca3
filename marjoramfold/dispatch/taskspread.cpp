#include "marjoramfold/dispatch/taskspread.h"

#include <queue>
#include <tuple>

namespace Marjoramfold
{
namespace
{
/// A worker with the number of runs that it has and will get.
struct Entry {
    std::size_t worker_ = 0;
    std::size_t runs_ = 0;
    std::uint32_t given_ = 0;
    /// Idle cores for each run if it gets one more, by the worker's speed.
    double share_ = 0;
    bool quarantined_ = false;

    /// Orders entries by who gets the next task; the greatest one does.
    auto operator<(const Entry &other) const -> bool
    {
        return std::tuple(other.quarantined_, share_, other.runs_, other.worker_) < std::tuple(quarantined_, other.share_, runs_, worker_);
    }
};

auto shareOf(const SpreadWorker &worker, std::size_t runs) -> double
{
    return static_cast<double>(worker.idleMilliCores_) / worker.relativeDuration_ / static_cast<double>(runs + 1);
}
} // namespace

auto spreadTasks(const std::vector<SpreadWorker> &workers, std::uint32_t count) -> std::vector<std::size_t>
{
    std::priority_queue<Entry> queue;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        if (workers[i].limit_ > 0) {
            queue.push({i, workers[i].runs_, 0, shareOf(workers[i], workers[i].runs_), workers[i].quarantined_});
        }
    }
    std::vector<std::size_t> chosen;
    while (chosen.size() < count && !queue.empty()) {
        auto entry = queue.top();
        queue.pop();
        chosen.push_back(entry.worker_);
        ++entry.runs_;
        ++entry.given_;
        entry.share_ = shareOf(workers[entry.worker_], entry.runs_);
        if (entry.given_ < workers[entry.worker_].limit_) {
            queue.push(entry);
        }
    }
    return chosen;
}
} // namespace Marjoramfold
