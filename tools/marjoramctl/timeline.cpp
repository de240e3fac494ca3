#include "timeline.h"

#include "terminal.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <map>
#include <set>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

/// Width of the bars, in characters.
constexpr std::size_t BarWidth = 40;

/// Deepest indentation level; deeper spans are drawn at this level.
constexpr std::size_t MaxDepth = 16;

constexpr int OtlpStatusError = 2;

struct TimelineSpan {
    std::string id_;
    std::string parent_;
    std::string label_;
    std::string status_;
    std::int64_t start_ = 0;
    std::int64_t end_ = 0;
};

auto textOf(const json &object, const char *key) -> std::string
{
    return object.contains(key) ? toCell(object[key]) : std::string();
}

/// Parses a timestamp; OTLP JSON encodes 64-bit integers as strings.
auto nanoseconds(const json &object, const char *key) -> std::int64_t
{
    const auto text = textOf(object, key);
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

auto attributeOf(const json &span, std::string_view name) -> std::string
{
    if (!span.contains("attributes") || !span["attributes"].is_array()) {
        return {};
    }
    for (const auto &attribute : span["attributes"]) {
        if (attribute.is_object() && textOf(attribute, "key") == name && attribute.contains("value") && attribute["value"].is_object()) {
            return textOf(attribute["value"], "stringValue");
        }
    }
    return {};
}

auto toTimelineSpan(const json &span) -> TimelineSpan
{
    TimelineSpan result{textOf(span, "spanId"), textOf(span, "parentSpanId"), textOf(span, "name"), {}, nanoseconds(span, "startTimeUnixNano"), 0};
    result.end_ = std::max(result.start_, nanoseconds(span, "endTimeUnixNano"));
    if (const auto instance = attributeOf(span, "instance"); !instance.empty()) {
        result.label_ += " @" + instance;
    }
    if (span.contains("status") && span["status"].is_object() && span["status"].value("code", json(0)) == OtlpStatusError) {
        result.status_ = "error " + textOf(span["status"], "message");
    }
    return result;
}

auto milliseconds(std::int64_t nanoseconds) -> std::string
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f ms", static_cast<double>(nanoseconds) / 1e6);
    return text.data();
}

/// Timeline of the spans of one trace.
class Timeline
{
public:
    Timeline(std::ostream &out, std::vector<TimelineSpan> spans)
        : out_(out)
        , spans_(std::move(spans))
    {
        std::stable_sort(spans_.begin(), spans_.end(), [](const TimelineSpan &left, const TimelineSpan &right) {
            return left.start_ < right.start_;
        });
        begin_ = spans_.front().start_;
        for (const auto &span : spans_) {
            ids_.insert(span.id_);
            length_ = std::max(length_, span.end_ - begin_);
        }
    }

    auto write() -> void
    {
        // A span is drawn as a root when its parent is missing, for example because the instance that recorded it is gone.
        std::vector<std::pair<const TimelineSpan *, std::size_t>> lines;
        for (const auto &span : spans_) {
            if (span.parent_.empty() || !ids_.contains(span.parent_)) {
                collect(span, 0, lines);
            }
        }
        std::size_t labelWidth = 0;
        for (const auto &[span, depth] : lines) {
            labelWidth = std::max(labelWidth, label(*span, depth).size());
        }
        for (const auto &[span, depth] : lines) {
            auto text = label(*span, depth);
            text.resize(labelWidth, ' ');
            out_ << text << "  |" << bar(*span) << "|  +" << milliseconds(span->start_ - begin_) << "  " << milliseconds(span->end_ - span->start_)
                 << (span->status_.empty() ? "" : "  " + span->status_) << '\n';
        }
    }

private:
    auto collect(const TimelineSpan &span, std::size_t depth, std::vector<std::pair<const TimelineSpan *, std::size_t>> &lines) -> void
    {
        // Drawing each span once ends the recursion for spans that are each other's parents.
        if (!drawn_.insert(&span).second) {
            return;
        }
        lines.emplace_back(&span, std::min(depth, MaxDepth));
        for (const auto &child : spans_) {
            if (child.parent_ == span.id_) {
                collect(child, depth + 1, lines);
            }
        }
    }

    static auto label(const TimelineSpan &span, std::size_t depth) -> std::string
    {
        return std::string(2 * depth, ' ') + span.label_;
    }

    [[nodiscard]] auto bar(const TimelineSpan &span) const -> std::string
    {
        const auto column = [this](std::int64_t time) {
            const auto share = length_ > 0 ? static_cast<double>(time - begin_) / static_cast<double>(length_) : 0.0;
            return static_cast<std::size_t>(share * static_cast<double>(BarWidth));
        };
        const auto from = std::min(column(span.start_), BarWidth - 1);
        const auto to = std::min(std::max(column(span.end_), from + 1), BarWidth);
        return std::string(from, ' ') + std::string(to - from, '=') + std::string(BarWidth - to, ' ');
    }

    std::ostream &out_;
    std::vector<TimelineSpan> spans_;
    std::set<std::string> ids_;
    std::set<const TimelineSpan *> drawn_;
    std::int64_t begin_ = 0;
    std::int64_t length_ = 0;
};
} // namespace

auto mergeSpans(const std::vector<json> &lists) -> json
{
    auto merged = json::array();
    std::set<std::string> seen;
    for (const auto &list : lists) {
        for (const auto &span : list) {
            if (span.is_object() && seen.insert(textOf(span, "spanId")).second) {
                merged.push_back(span);
            }
        }
    }
    return merged;
}

auto writeTimeline(std::ostream &out, const json &spans) -> void
{
    std::vector<TimelineSpan> read;
    for (const auto &span : spans) {
        if (span.is_object()) {
            read.push_back(toTimelineSpan(span));
        }
    }
    if (!read.empty()) {
        Timeline(out, std::move(read)).write();
    }
}
} // namespace Marjoramfold::Ctl
