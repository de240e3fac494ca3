#pragma once

#include <istream>
#include <string>

namespace Marjoramfold
{
/// Formats runs, given as one JSON object per line, as Markdown tables: one table per scenario, one row per policy.
/// Values are means over the seeds, but maxima for starts of urgent jobs, decision times and memory, and sums for violations.
[[nodiscard]] auto summarize(std::istream &lines) -> std::string;
} // namespace Marjoramfold
