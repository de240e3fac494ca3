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

/// What a hop passes to the next, as the W3C header `traceparent` carries it.
struct TraceContext {
    TraceId traceId_{};
    SpanId spanId_{};
    bool sampled_ = true;

    auto operator==(const TraceContext &) const -> bool = default;
};

/// Reads a `traceparent` header. Empty for malformed ones, zero ids and version ff. Later versions are read as version 00 with more fields.
[[nodiscard]] auto parseTraceparent(std::string_view header) -> std::optional<TraceContext>;

/// Writes a `traceparent` header of version 00.
[[nodiscard]] auto formatTraceparent(const TraceContext &context) -> std::string;

/// Lower-case hexadecimal text of a trace id.
[[nodiscard]] auto toHex(const TraceId &id) -> std::string;

/// Lower-case hexadecimal text of a span id.
[[nodiscard]] auto toHex(const SpanId &id) -> std::string;

/// Reads 32 lower-case hexadecimal digits that are not all zero.
[[nodiscard]] auto parseTraceId(std::string_view text) -> std::optional<TraceId>;
} // namespace Marjoramfold
