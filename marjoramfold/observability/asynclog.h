#pragma once

namespace Marjoramfold
{
/// Sends all log lines to standard output through a bounded queue and a thread of its own. When output is slower than the
/// lines, the oldest are dropped; writers never wait. Call once, before the first line.
auto logToStandardOutput() -> void;

/// Writes what is queued and ends the thread.
auto finishLog() -> void;
} // namespace Marjoramfold
