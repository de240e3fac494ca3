#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>

namespace Marjoramfold::Ctl
{
/// Draws spans in OTLP's JSON form as a timeline: one line for each hop, indented below its parent, with a bar for its time.
auto writeTimeline(std::ostream &out, const nlohmann::json &spans) -> void;

/// Joins lists of spans from several entries; a span that came twice is kept once.
[[nodiscard]] auto mergeSpans(const std::vector<nlohmann::json> &lists) -> nlohmann::json;
} // namespace Marjoramfold::Ctl
