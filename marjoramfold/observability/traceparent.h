#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Marjoramfold
{
/// Identifies a trace: all hops of one request or job.
using TraceId = std::array<std::uint8_t, 16>;

/// Identifies a span within a trace.
using SpanId = std::array<std::uint8_t, 8>;

/// Context that a hop passes to the next, as in the W3C header `traceparent`.
struct TraceContext {
    TraceId traceId_{};
    SpanId spanId_{};
    bool sampled_ = true;

    auto operator==(const TraceContext &) const -> bool = default;
};

/// Parses a `traceparent` header. Empty for malformed headers, zero ids and version ff. Later versions are parsed as version 00 with more fields.
[[nodiscard]] auto parseTraceparent(std::string_view header) -> std::optional<TraceContext>;

/// Formats a `traceparent` header of version 00.
[[nodiscard]] auto formatTraceparent(const TraceContext &context) -> std::string;

/// Lower-case hexadecimal text of a trace id.
[[nodiscard]] auto toHex(const TraceId &id) -> std::string;

/// Lower-case hexadecimal text of a span id.
[[nodiscard]] auto toHex(const SpanId &id) -> std::string;

/// Parses 32 lower-case hexadecimal digits that are not all zero.
[[nodiscard]] auto parseTraceId(std::string_view text) -> std::optional<TraceId>;
} // namespace Marjoramfold
