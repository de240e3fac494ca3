#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/observability/traceparent.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// Value of an attribute of a span.
using SpanValue = std::variant<std::string, std::int64_t, double, bool>;

/// One attribute of a span.
struct SpanAttribute {
    std::string key_;
    SpanValue value_;
};

/// Outcome of a span, as OTLP numbers them.
enum class SpanStatus {
    Unset = 0,
    Ok = 1,
    Error = 2,
};

/// Role of a span, as OTLP numbers them.
enum class SpanKind {
    Internal = 1,
    Server = 2,
    Client = 3,
};

/// A span as it is exported and kept.
struct FinishedSpan {
    TraceContext context_;
    std::optional<SpanId> parent_;
    std::string name_;
    SpanKind kind_ = SpanKind::Internal;
    WallTime start_;
    WallTime end_;
    std::vector<SpanAttribute> attributes_;
    SpanStatus status_ = SpanStatus::Unset;
    std::string statusMessage_;
};

/// A span in OTLP's JSON form: {"traceId","spanId","parentSpanId","name","kind","startTimeUnixNano","endTimeUnixNano",
/// "attributes":[{"key","value"}],"status":{"code","message"}}; times are strings.
[[nodiscard]] auto toOtlpJson(const FinishedSpan &span) -> nlohmann::json;

class Tracer;

/// A running piece of work of one hop. It ends with end() or with its destruction. Used by one thread at a time.
class Span
{
public:
    Span() = default;
    Span(Span &&) noexcept;
    auto operator=(Span &&) noexcept -> Span &;
    Span(const Span &) = delete;
    auto operator=(const Span &) -> Span & = delete;
    ~Span();

    /// What the next hop gets.
    [[nodiscard]] auto context() const -> const TraceContext &;

    auto setAttribute(std::string key, SpanValue value) -> void;

    auto setStatus(SpanStatus status, std::string message = {}) -> void;

    /// Ends the span now and hands it to the tracer; later calls do nothing.
    auto end() -> void;

private:
    friend class Tracer;

    class Sink;
    std::shared_ptr<Sink> sink_;
    FinishedSpan span_;
    SteadyTime startedAt_;
};

/// Where spans go, and how many are kept.
struct TracerOptions {
    /// Name of this instance, written to each span as attribute "instance".
    std::string instance_;
    /// File that gets one OTLP/JSON line per span; empty for none.
    std::string file_;
    /// Spans kept in memory for queries; the oldest are dropped first. 4,096 spans take about 2 MB.
    std::size_t keptSpans_ = 4'096;
};

/// Makes spans, exports finished ones and answers queries about them. Thread-safe. Spans may outlive the tracer.
class Tracer
{
public:
    /// Opens the file; a file that cannot be opened is reported by canExport().
    explicit Tracer(TracerOptions options, Clock clock = systemClock());
    ~Tracer();
    Tracer(const Tracer &) = delete;
    auto operator=(const Tracer &) -> Tracer & = delete;

    /// Starts a span below the span of an earlier hop, or a new trace without one.
    [[nodiscard]] auto startSpan(std::string name, const std::optional<TraceContext> &parent = std::nullopt, SpanKind kind = SpanKind::Internal) -> Span;

    /// Starts a span below the hop that a `traceparent` header names; a malformed header starts a new trace.
    [[nodiscard]] auto startServerSpan(std::string name, std::string_view traceparent) -> Span;

    /// Kept spans of a trace, by start time.
    [[nodiscard]] auto spansOf(const TraceId &trace) const -> std::vector<FinishedSpan>;

    /// Writes buffered lines to the file.
    auto flush() -> void;

    /// False when a file was given and writing to it failed.
    [[nodiscard]] auto canExport() const -> bool;

private:
    std::shared_ptr<Span::Sink> sink_;
};
} // namespace Marjoramfold
