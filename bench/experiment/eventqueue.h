#pragma once

#include "marjoramfold/core/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// Event queue with simulated time: actions run by time, and in order of insertion at equal times.
class EventQueue
{
public:
    /// Schedules an action; one with a time in the past runs next.
    auto schedule(SteadyTime at, std::function<void()> action) -> void
    {
        items_.push(Item{at < now_ ? now_ : at, nextSequence_++, std::move(action)});
    }

    /// Schedules an action after a delay.
    auto after(std::chrono::milliseconds delay, std::function<void()> action) -> void
    {
        schedule(now_ + delay, std::move(action));
    }

    /// Runs the next action if it is due by `end`; returns false otherwise.
    auto runNext(SteadyTime end) -> bool
    {
        if (items_.empty() || items_.top().at_ > end) {
            return false;
        }
        // top() is const; moving the action out is safe, since the item is popped right after.
        auto action = std::move(const_cast<Item &>(items_.top()).action_);
        now_ = items_.top().at_;
        items_.pop();
        action();
        return true;
    }

    /// Current simulated time.
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
