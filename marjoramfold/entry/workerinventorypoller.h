#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/worker/workerclient.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace Marjoramfold
{
/// What a worker link reports.
struct WorkerInventoryPollerHooks {
    /// A new inventory arrived.
    std::function<void(const WorkerInfo &worker, const WorkerInventory &inventory)> onInventory_;
    /// The worker has not answered for the loss timeout.
    std::function<void(const WorkerId &worker)> onLost_;
    /// The worker obeys a newer scheduler.
    std::function<void()> onStaleEpoch_;
};

/// Watches one worker by waiting queries for its inventory, which return when a task's state changes.
class WorkerInventoryPoller : public std::enable_shared_from_this<WorkerInventoryPoller>
{
public:
    WorkerInventoryPoller(asio::io_context &context, WorkerClient &client, WorkerInfo worker, Epoch epoch, WorkerInventoryPollerHooks hooks);

    /// Starts to query; the first answer comes at once and fences off lower epochs.
    auto start() -> void;

    /// Stops to query and reports nothing more.
    auto close() -> void;

    [[nodiscard]] auto worker() const -> const WorkerInfo &;
    [[nodiscard]] auto isReachable() const -> bool;

private:
    auto query() -> void;
    auto handleAnswer(Result<WorkerInventory> answer) -> void;
    auto queryAfter(std::chrono::milliseconds delay) -> void;

    WorkerClient &client_;
    asio::steady_timer timer_;
    WorkerInfo worker_;
    Epoch epoch_;
    WorkerInventoryPollerHooks hooks_;
    std::uint64_t seenVersion_ = 0;
    SteadyTime firstFailure_{};
    bool failing_ = false;
    bool lost_ = false;
    bool reachable_ = false;
    bool closed_ = false;
};
} // namespace Marjoramfold
