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

/// Status of a span, with the numbers of OTLP.
enum class SpanStatus {
    Unset = 0,
    Ok = 1,
    Error = 2,
};

/// Kind of a span, with the numbers of OTLP.
enum class SpanKind {
    Internal = 1,
    Server = 2,
    Client = 3,
};

/// A span as it is exported and kept in memory.
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

/// An operation of one hop that is in progress. It ends with end() or on destruction. Not thread-safe.
class Span
{
public:
    Span() = default;
    Span(Span &&) noexcept;
    auto operator=(Span &&) noexcept -> Span &;
    Span(const Span &) = delete;
    auto operator=(const Span &) -> Span & = delete;
    ~Span();

    /// Context to pass to the next hop.
    [[nodiscard]] auto context() const -> const TraceContext &;

    auto setAttribute(std::string key, SpanValue value) -> void;

    auto setStatus(SpanStatus status, std::string message = {}) -> void;

    /// Ends the span and exports it; later calls do nothing.
    auto end() -> void;

private:
    friend class Tracer;

    class Sink;
    std::shared_ptr<Sink> sink_;
    FinishedSpan span_;
    SteadyTime startedAt_;
};

/// Export file and limits of a tracer.
struct TracerOptions {
    /// Name of this instance, written to each span as attribute "instance".
    std::string instance_;
    /// File to which one OTLP/JSON line per span is appended; empty for none.
    std::string file_;
    /// Limit on spans in memory for queries; the oldest are dropped first. 4,096 spans use about 2 MB.
    std::size_t maxFinishedSpans_ = 4'096;
};

/// Creates spans, exports finished ones and serves queries about them. Thread-safe. Spans may outlive the tracer.
class Tracer
{
public:
    /// Opens the file; a file that cannot be opened is reported by canExport().
    explicit Tracer(TracerOptions options, Clock clock = systemClock());
    ~Tracer();
    Tracer(const Tracer &) = delete;
    auto operator=(const Tracer &) -> Tracer & = delete;

    /// Starts a child of an earlier hop's span, or a new trace when there is no parent.
    [[nodiscard]] auto startSpan(std::string name, const std::optional<TraceContext> &parent = std::nullopt, SpanKind kind = SpanKind::Internal) -> Span;

    /// Starts a child of the span in a `traceparent` header; a malformed header starts a new trace.
    [[nodiscard]] auto startServerSpan(std::string name, std::string_view traceparent) -> Span;

    /// Finished spans of a trace that are in memory, by start time.
    [[nodiscard]] auto spansOf(const TraceId &trace) const -> std::vector<FinishedSpan>;

    /// Writes buffered lines to the file.
    auto flush() -> void;

    /// False when a file was given and writing to it failed.
    [[nodiscard]] auto canExport() const -> bool;

private:
    std::shared_ptr<Span::Sink> sink_;
};
} // namespace Marjoramfold
