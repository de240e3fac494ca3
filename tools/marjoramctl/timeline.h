#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>

namespace Marjoramfold::Ctl
{
/// Draws spans in OTLP JSON form as a timeline: one line per span, indented below its parent, with a bar for its duration.
auto writeTimeline(std::ostream &out, const nlohmann::json &spans) -> void;

/// Merges the spans from several entries and removes duplicates.
[[nodiscard]] auto mergeSpans(const std::vector<nlohmann::json> &lists) -> nlohmann::json;
} // namespace Marjoramfold::Ctl
