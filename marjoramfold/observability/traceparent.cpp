#include "marjoramfold/observability/traceparent.h"

#include <algorithm>

namespace Marjoramfold
{
namespace
{
// Layout of version 00: VV-TTTTTTTTTTTTTTTTTTTTTTTTTTTTTTTT-SSSSSSSSSSSSSSSS-FF
constexpr std::size_t TraceIdAt = 3;
constexpr std::size_t SpanIdAt = 36;
constexpr std::size_t FlagsAt = 53;
constexpr std::size_t HeaderSize = 55;
constexpr std::uint8_t SampledFlag = 1;
constexpr std::uint8_t InvalidVersion = 0xff;

/// Value of a hexadecimal digit; -1 for other characters. Upper case is invalid in this header.
auto digitValue(char digit) -> int
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

template<std::size_t Size>
auto parseHex(std::string_view text) -> std::optional<std::array<std::uint8_t, Size>>
{
    std::array<std::uint8_t, Size> bytes{};
    if (text.size() != 2 * Size) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < Size; ++i) {
        const auto high = digitValue(text[2 * i]);
        const auto low = digitValue(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return bytes;
}

template<std::size_t Size>
auto formatHex(const std::array<std::uint8_t, Size> &bytes) -> std::string
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : bytes) {
        text.push_back(Digits[byte >> 4U]);
        text.push_back(Digits[byte & 0xfU]);
    }
    return text;
}

template<std::size_t Size>
auto isZero(const std::array<std::uint8_t, Size> &bytes) -> bool
{
    return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) {
        return byte == 0;
    });
}
} // namespace

auto parseTraceId(std::string_view text) -> std::optional<TraceId>
{
    const auto id = parseHex<std::tuple_size_v<TraceId>>(text);
    return id && !isZero(*id) ? id : std::nullopt;
}

auto parseTraceparent(std::string_view header) -> std::optional<TraceContext>
{
    if (header.size() < HeaderSize || header[TraceIdAt - 1] != '-' || header[SpanIdAt - 1] != '-' || header[FlagsAt - 1] != '-') {
        return std::nullopt;
    }
    const auto version = parseHex<1>(header.substr(0, 2));
    const auto traceId = parseTraceId(header.substr(TraceIdAt, 32));
    const auto spanId = parseHex<std::tuple_size_v<SpanId>>(header.substr(SpanIdAt, 16));
    const auto flags = parseHex<1>(header.substr(FlagsAt, 2));
    if (!version || !traceId || !spanId || !flags || isZero(*spanId) || version->front() == InvalidVersion) {
        return std::nullopt;
    }
    // Version 00 ends after the flags; a later version may add fields after a dash.
    if (header.size() > HeaderSize && (version->front() == 0 || header[HeaderSize] != '-')) {
        return std::nullopt;
    }
    return TraceContext{*traceId, *spanId, (flags->front() & SampledFlag) != 0};
}

auto formatTraceparent(const TraceContext &context) -> std::string
{
    return "00-" + toHex(context.traceId_) + "-" + toHex(context.spanId_) + (context.sampled_ ? "-01" : "-00");
}

auto toHex(const TraceId &id) -> std::string
{
    return formatHex(id);
}

auto toHex(const SpanId &id) -> std::string
{
    return formatHex(id);
}
} // namespace Marjoramfold
