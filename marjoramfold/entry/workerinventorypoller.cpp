#include "marjoramfold/entry/workerinventorypoller.h"

#include <utility>

namespace Marjoramfold
{
namespace
{
// Long-poll wait per worker. An answer after the full wait still refreshes resource usage, which lags.
constexpr std::chrono::milliseconds QueryWait{10'000};
constexpr std::chrono::milliseconds RetryDelay{500};
constexpr std::chrono::milliseconds LossTimeout{3'000};
} // namespace

WorkerInventoryPoller::WorkerInventoryPoller(asio::io_context &context, WorkerClient &client, WorkerInfo worker, Epoch epoch, WorkerInventoryPollerHooks hooks)
    : client_(client)
    , timer_(context)
    , worker_(std::move(worker))
    , epoch_(epoch)
    , hooks_(std::move(hooks))
{
}

auto WorkerInventoryPoller::start() -> void
{
    query();
}

auto WorkerInventoryPoller::close() -> void
{
    closed_ = true;
    timer_.cancel();
}

auto WorkerInventoryPoller::worker() const -> const WorkerInfo &
{
    return worker_;
}

auto WorkerInventoryPoller::isReachable() const -> bool
{
    return reachable_;
}

auto WorkerInventoryPoller::query() -> void
{
    // The first query, and the first after a failure, must not wait, since they also fence the worker.
    const auto wait = reachable_ ? QueryWait : std::chrono::milliseconds(0);
    client_.fetchInventory(worker_.address_, epoch_, seenVersion_, wait, [self = shared_from_this()](Result<WorkerInventory> answer) {
        if (!self->closed_) {
            self->handleAnswer(std::move(answer));
        }
    });
}

auto WorkerInventoryPoller::handleAnswer(Result<WorkerInventory> answer) -> void
{
    if (isOk(answer)) {
        const auto inventory = valueOf(std::move(answer));
        failing_ = false;
        lost_ = false;
        reachable_ = true;
        worker_.capacity_ = inventory.capacity_;
        worker_.rack_ = inventory.rack_;
        hooks_.onInventory_(worker_, inventory);
        seenVersion_ = inventory.version_;
        if (!closed_) {
            query();
        }
        return;
    }
    if (errorOf(answer).kind_ == ErrorKind::StaleEpoch) {
        hooks_.onStaleEpoch_();
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (!failing_) {
        failing_ = true;
        firstFailure_ = now;
    }
    reachable_ = false;
    if (!lost_ && now - firstFailure_ >= LossTimeout) {
        lost_ = true;
        hooks_.onLost_(worker_.id_);
    }
    queryAfter(RetryDelay);
}

auto WorkerInventoryPoller::queryAfter(std::chrono::milliseconds delay) -> void
{
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](const std::error_code &error) {
        if (!error && !self->closed_) {
            self->query();
        }
    });
}
} // namespace Marjoramfold
