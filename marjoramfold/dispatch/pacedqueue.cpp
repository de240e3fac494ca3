#include "marjoramfold/dispatch/pacedqueue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace Marjoramfold
{
PacedQueue::PacedQueue(Schedule schedule, std::size_t commandsPerTurn, WorkMeter *workMeter)
    : schedule_(std::move(schedule))
    , commandsPerTurn_(commandsPerTurn)
    , workMeter_(workMeter)
    , alive_(std::make_shared<bool>(true))
{
    assert(commandsPerTurn_ > 0);
}

auto PacedQueue::add(CommandLane lane, std::function<void()> send) -> void
{
    if (!alive_) {
        return;
    }
    lanes_.at(static_cast<std::size_t>(lane)).push_back(std::move(send));
    scheduleTurn();
}

auto PacedQueue::stop() -> void
{
    alive_.reset();
    for (auto &lane : lanes_) {
        lane.clear();
    }
}

auto PacedQueue::size() const -> std::size_t
{
    std::size_t waiting = 0;
    for (const auto &lane : lanes_) {
        waiting += lane.size();
    }
    return waiting;
}

auto PacedQueue::scheduleTurn() -> void
{
    if (turnScheduled_ || size() == 0) {
        return;
    }
    turnScheduled_ = true;
    schedule_(std::chrono::milliseconds(0), [this, alive = std::weak_ptr(alive_)] {
        if (alive.expired()) {
            return;
        }
        turnScheduled_ = false;
        const WorkMeter::Scope scope(workMeter_, WorkKind::Commands);
        for (std::size_t sent = 0; sent < commandsPerTurn_ && sendOne(); ++sent) {
            // A command may stop this queue.
            if (alive.expired()) {
                return;
            }
        }
        scheduleTurn();
    });
}

auto PacedQueue::sendOne() -> bool
{
    const auto lane = std::find_if(lanes_.begin(), lanes_.end(), [](const auto &waiting) {
        return !waiting.empty();
    });
    if (lane == lanes_.end()) {
        return false;
    }
    const auto send = std::move(lane->front());
    lane->pop_front();
    send();
    return true;
}
} // namespace Marjoramfold
