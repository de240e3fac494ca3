#include "marjoramfold/dispatch/heldtime.h"

namespace Marjoramfold
{
auto HeldTime::update(BootTime passAt, bool held) -> void
{
    if (passAt == lastPassAt_) {
        held_ = held_ || held;
        return;
    }
    if (held_) {
        interval_ = passAt - lastPassAt_;
        total_ += interval_;
    }
    lastPassAt_ = passAt;
    held_ = held;
}

auto HeldTime::assume(std::chrono::milliseconds time) -> void
{
    total_ = time;
}

auto HeldTime::isHeld() const -> bool
{
    return held_;
}

auto HeldTime::total() const -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(total_);
}

auto HeldTime::expectedTotal() const -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(total_ + interval_);
}
} // namespace Marjoramfold
