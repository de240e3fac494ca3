#pragma once

#include <istream>
#include <string>

namespace Marjoramfold
{
/// Markdown tables of runs, one JSON object per line: for each scenario one row per policy, with means over the seeds.
/// Starts of urgent jobs and decision times are the worst over the seeds, violations their sum.
[[nodiscard]] auto summarize(std::istream &lines) -> std::string;
} // namespace Marjoramfold
