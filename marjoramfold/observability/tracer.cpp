#include "marjoramfold/observability/tracer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <fstream>
#include <mutex>
#include <random>
#include <utility>

namespace Marjoramfold
{
namespace
{
using nlohmann::json;

/// Longest time that lines stay buffered while further spans end.
constexpr std::chrono::milliseconds FlushInterval{1'000};

/// Further attributes are dropped, so that the size of a span is bounded.
constexpr std::size_t MaxSpanAttributes = 32;

/// Fills an id with random bytes that are not all zero.
template<std::size_t Size>
auto randomId() -> std::array<std::uint8_t, Size>
{
    thread_local std::mt19937_64 engine(std::random_device{}());
    std::array<std::uint8_t, Size> id{};
    for (auto &byte : id) {
        byte = static_cast<std::uint8_t>(engine());
    }
    id.front() = static_cast<std::uint8_t>(id.front() | 1U);
    return id;
}

auto unixNanoseconds(WallTime time) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

auto toOtlpValue(const SpanValue &value) -> json
{
    if (const auto *text = std::get_if<std::string>(&value)) {
        return {{"stringValue", *text}};
    }
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        // OTLP writes 64-bit numbers as strings, since JSON readers may lose digits.
        return {{"intValue", std::to_string(*number)}};
    }
    if (const auto *real = std::get_if<double>(&value)) {
        return {{"doubleValue", *real}};
    }
    return {{"boolValue", std::get<bool>(value)}};
}
} // namespace

auto toOtlpJson(const FinishedSpan &span) -> json
{
    auto attributes = json::array();
    for (const auto &attribute : span.attributes_) {
        attributes.push_back({{"key", attribute.key_}, {"value", toOtlpValue(attribute.value_)}});
    }
    json object{
        {"traceId", toHex(span.context_.traceId_)},
        {"spanId", toHex(span.context_.spanId_)},
        {"name", span.name_},
        {"kind", static_cast<int>(span.kind_)},
        {"startTimeUnixNano", unixNanoseconds(span.start_)},
        {"endTimeUnixNano", unixNanoseconds(span.end_)},
        {"attributes", std::move(attributes)},
        {"status", {{"code", static_cast<int>(span.status_)}}},
    };
    if (span.parent_) {
        object["parentSpanId"] = toHex(*span.parent_);
    }
    if (!span.statusMessage_.empty()) {
        object["status"]["message"] = span.statusMessage_;
    }
    return object;
}

/// Collects finished spans; shared by the tracer and the spans in progress.
class Span::Sink
{
public:
    Sink(TracerOptions options, Clock clock)
        : options_(std::move(options))
        , clock_(std::move(clock))
    {
        if (!options_.file_.empty()) {
            file_.open(options_.file_, std::ios::app);
            failed_ = !file_.is_open();
        }
    }

    auto add(FinishedSpan span) -> void
    {
        span.attributes_.insert(span.attributes_.begin(), {"instance", options_.instance_});
        const auto line = options_.file_.empty() ? std::string() : toLine(span);
        const std::lock_guard lock(mutex_);
        if (!line.empty() && !failed_) {
            file_ << line << '\n';
            flushAfterInterval();
        }
        finishedSpans_.push_back(std::move(span));
        while (finishedSpans_.size() > options_.maxFinishedSpans_) {
            finishedSpans_.pop_front();
        }
    }

    auto spansOf(const TraceId &trace) const -> std::vector<FinishedSpan>
    {
        std::vector<FinishedSpan> found;
        {
            const std::lock_guard lock(mutex_);
            std::copy_if(finishedSpans_.begin(), finishedSpans_.end(), std::back_inserter(found), [&trace](const FinishedSpan &span) {
                return span.context_.traceId_ == trace;
            });
        }
        std::stable_sort(found.begin(), found.end(), [](const FinishedSpan &left, const FinishedSpan &right) {
            return left.start_ < right.start_;
        });
        return found;
    }

    auto flush() -> void
    {
        const std::lock_guard lock(mutex_);
        file_.flush();
        failed_ = failed_ || (!options_.file_.empty() && !file_.good());
    }

    auto canExport() const -> bool
    {
        const std::lock_guard lock(mutex_);
        return !failed_;
    }

    [[nodiscard]] auto clock() const -> const Clock &
    {
        return clock_;
    }

private:
    auto toLine(const FinishedSpan &span) const -> std::string
    {
        const json resource{
            {"attributes",
             {
                 {{"key", "service.name"}, {"value", {{"stringValue", "marjoramfold"}}}},
                 {{"key", "service.instance.id"}, {"value", {{"stringValue", options_.instance_}}}},
             }},
        };
        const json scopeSpans{{"scope", {{"name", "marjoramfold"}}}, {"spans", json::array({toOtlpJson(span)})}};
        const json line{{"resourceSpans", json::array({json{{"resource", resource}, {"scopeSpans", json::array({scopeSpans})}}})}};
        // Names and values may come from callers; invalid UTF-8 is replaced instead of failing.
        return line.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    auto flushAfterInterval() -> void
    {
        const auto now = clock_.steadyNow_();
        if (now - lastFlush_ >= FlushInterval) {
            lastFlush_ = now;
            file_.flush();
            failed_ = !file_.good();
        }
    }

    TracerOptions options_;
    Clock clock_;
    mutable std::mutex mutex_;
    std::ofstream file_;
    std::deque<FinishedSpan> finishedSpans_;
    SteadyTime lastFlush_;
    bool failed_ = false;
};

Span::Span(Span &&) noexcept = default;

auto Span::operator=(Span &&other) noexcept -> Span &
{
    if (this != &other) {
        end();
        sink_ = std::move(other.sink_);
        span_ = std::move(other.span_);
        startedAt_ = other.startedAt_;
    }
    return *this;
}

Span::~Span()
{
    end();
}

auto Span::context() const -> const TraceContext &
{
    return span_.context_;
}

auto Span::setAttribute(std::string key, SpanValue value) -> void
{
    if (span_.attributes_.size() < MaxSpanAttributes) {
        span_.attributes_.push_back({std::move(key), std::move(value)});
    }
}

auto Span::setStatus(SpanStatus status, std::string message) -> void
{
    span_.status_ = status;
    span_.statusMessage_ = std::move(message);
}

auto Span::end() -> void
{
    if (const auto sink = std::exchange(sink_, nullptr)) {
        // The duration comes from the steady clock, so that a step of the time of day cannot make it negative.
        span_.end_ = span_.start_ + std::chrono::duration_cast<WallTime::duration>(sink->clock().steadyNow_() - startedAt_);
        sink->add(std::move(span_));
    }
}

Tracer::Tracer(TracerOptions options, Clock clock)
    : sink_(std::make_shared<Span::Sink>(std::move(options), std::move(clock)))
{
}

Tracer::~Tracer()
{
    sink_->flush();
}

auto Tracer::startSpan(std::string name, const std::optional<TraceContext> &parent, SpanKind kind) -> Span
{
    Span span;
    span.sink_ = sink_;
    span.startedAt_ = sink_->clock().steadyNow_();
    span.span_.start_ = sink_->clock().wallNow_();
    span.span_.name_ = std::move(name);
    span.span_.kind_ = kind;
    span.span_.context_ = parent.value_or(TraceContext{randomId<16>(), {}, true});
    span.span_.context_.spanId_ = randomId<8>();
    if (parent) {
        span.span_.parent_ = parent->spanId_;
    }
    return span;
}

auto Tracer::startServerSpan(std::string name, std::string_view traceparent) -> Span
{
    return startSpan(std::move(name), parseTraceparent(traceparent), SpanKind::Server);
}

auto Tracer::spansOf(const TraceId &trace) const -> std::vector<FinishedSpan>
{
    return sink_->spansOf(trace);
}

auto Tracer::flush() -> void
{
    sink_->flush();
}

auto Tracer::canExport() const -> bool
{
    return sink_->canExport();
}
} // namespace Marjoramfold
