#pragma once

namespace Marjoramfold
{
/// Writes all log lines to standard output from a separate thread with a bounded queue. When output falls behind, the oldest
/// lines are dropped; callers never block. Call once, before the first line.
auto logToStandardOutput() -> void;

/// Writes the queued lines and ends the thread.
auto finishLog() -> void;
} // namespace Marjoramfold
