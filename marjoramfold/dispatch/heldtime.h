#pragma once

#include "marjoramfold/core/clock.h"

#include <chrono>

namespace Marjoramfold
{
/// Time for which preferences have kept a step from workers that could take it.
///
/// All preferences draw from this one time, so that waits which follow one another, or which begin anew, cannot add up.
class HeldTime
{
public:
    /// Counts the time since the last pass if the step was held back then, and notes whether it is held back now. A pass may call this for
    /// several parts of a step; one that is held back is enough.
    auto update(BootTime passAt, bool held) -> void;

    /// Assumes that a former leader has kept the step waiting for this long.
    auto assume(std::chrono::milliseconds time) -> void;

    /// True when the step was held back in the last pass.
    [[nodiscard]] auto isHeld() const -> bool;

    [[nodiscard]] auto total() const -> std::chrono::milliseconds;

    /// The total in the next pass if the step is held back until then.
    [[nodiscard]] auto expectedTotal() const -> std::chrono::milliseconds;

private:
    BootTime::duration total_{0};
    BootTime lastPassAt_{};
    /// Time between the last two passes.
    BootTime::duration interval_{0};
    bool held_ = false;
};
} // namespace Marjoramfold
