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
/// Callbacks of a worker inventory poller.
struct WorkerInventoryPollerHooks {
    /// A newer inventory arrived.
    std::function<void(const WorkerInfo &worker, const WorkerInventory &inventory)> onInventory_;
    /// The worker did not answer within the loss timeout.
    std::function<void(const WorkerId &worker)> onLost_;
    /// The worker refused the query because it has seen a newer epoch.
    std::function<void()> onStaleEpoch_;
};

/// Long-polls the inventory of one worker; the worker answers when the state of a task changes.
class WorkerInventoryPoller : public std::enable_shared_from_this<WorkerInventoryPoller>
{
public:
    WorkerInventoryPoller(asio::io_context &context, WorkerClient &client, WorkerInfo worker, Epoch epoch, WorkerInventoryPollerHooks hooks);

    /// Starts polling. The first query does not wait; it fences lower epochs on the worker.
    auto start() -> void;

    /// Stops polling; no callback runs afterwards.
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
