#pragma once

#include "marjoramfold/core/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Simulated time: actions run in order of time, and in order of insertion at the same time.
class EventQueue
{
public:
    /// Runs an action at a time; times in the past run next.
    auto schedule(SteadyTime at, std::function<void()> action) -> void
    {
        items_.push(Item{at < now_ ? now_ : at, nextSequence_++, std::move(action)});
    }

    /// Runs an action after a delay.
    auto after(std::chrono::milliseconds delay, std::function<void()> action) -> void
    {
        schedule(now_ + delay, std::move(action));
    }

    /// Runs the next action if it is due before a time; false when there is none.
    auto runNext(SteadyTime end) -> bool
    {
        if (items_.empty() || items_.top().at_ > end) {
            return false;
        }
        // The top of a priority queue is const; the action is moved out right before the item is popped.
        auto action = std::move(const_cast<Item &>(items_.top()).action_);
        now_ = items_.top().at_;
        items_.pop();
        action();
        return true;
    }

    /// The simulated time.
    [[nodiscard]] auto now() const -> SteadyTime
    {
        return now_;
    }

private:
    struct Item {
        SteadyTime at_;
        std::uint64_t sequence_ = 0;
        std::function<void()> action_;
        auto operator<(const Item &other) const -> bool
        {
            return at_ != other.at_ ? at_ > other.at_ : sequence_ > other.sequence_;
        }
    };
    std::priority_queue<Item> items_;
    SteadyTime now_{};
    std::uint64_t nextSequence_ = 0;
};
} // namespace Marjoramfold
