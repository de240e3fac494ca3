#include "marjoramfold/node/admission.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

namespace Marjoramfold
{
namespace
{
using Json = nlohmann::json;

/// Longest Retry-After; a backlog is forecast again every second, so that later times would be guesses.
constexpr std::chrono::seconds MaxRetryAfter{10};
/// Bounds of the values in a record; larger ones cannot come from a leader.
constexpr std::int64_t MaxWaitMs = std::chrono::milliseconds(std::chrono::hours(1)).count();
constexpr std::int64_t MaxPathMs = std::chrono::milliseconds(std::chrono::hours(24 * 365)).count();
constexpr std::int64_t MaxDemand = 1'000'000'000'000;
constexpr double MaxRatio = 1000.0;

/// Reads fields of a JSON object; remembers whether one was missing, of another type or out of range.
class FieldReader
{
public:
    explicit FieldReader(const Json &object)
        : object_(object)
        , valid_(object.is_object())
    {
    }

    auto integer(const char *name, std::int64_t max) -> std::int64_t
    {
        const auto *field = find(name);
        if (field == nullptr || !field->is_number_integer() || *field < 0 || *field > max) {
            valid_ = false;
            return 0;
        }
        return field->get<std::int64_t>();
    }

    auto milliseconds(const char *name, std::int64_t max) -> std::chrono::milliseconds
    {
        return std::chrono::milliseconds(integer(name, max));
    }

    auto number(const char *name, double max) -> double
    {
        const auto *field = find(name);
        const auto value = field != nullptr && field->is_number() ? field->get<double>() : -1.0;
        valid_ = valid_ && std::isfinite(value) && value >= 0 && value <= max;
        return valid_ ? value : 0.0;
    }

    auto text(const char *name) -> std::string
    {
        const auto *field = find(name);
        valid_ = valid_ && field != nullptr && field->is_string();
        return valid_ ? field->get<std::string>() : std::string();
    }

    auto list(const char *name) -> Json
    {
        const auto *field = find(name);
        valid_ = valid_ && field != nullptr && field->is_array();
        return valid_ ? *field : Json::array();
    }

    [[nodiscard]] auto isValid() const -> bool
    {
        return valid_;
    }

private:
    [[nodiscard]] auto find(const char *name) const -> const Json *
    {
        const auto found = object_.is_object() ? object_.find(name) : object_.end();
        return object_.is_object() && found != object_.end() ? &*found : nullptr;
    }

    const Json &object_;
    bool valid_;
};

auto encodeQueue(const QueueForecast &queue) -> Json
{
    return {{"queue", queue.queue_},
            {"ratio", queue.ratio_},
            {"timely_cores_ms", queue.timely_.cores_.count()},
            {"timely_accelerators_ms", queue.timely_.accelerators_.count()},
            {"useful_cores_ms", queue.useful_.cores_.count()},
            {"useful_accelerators_ms", queue.useful_.accelerators_.count()},
            {"path_ms", queue.typicalPath_.count()},
            {"blocked_milli_cores", queue.blockedTask_.milliCores_},
            {"blocked_memory_mb", queue.blockedTask_.memoryMb_},
            {"blocked_accelerators", queue.blockedTask_.accelerators_}};
}

auto decodeQueue(const Json &object) -> std::optional<QueueForecast>
{
    FieldReader fields(object);
    QueueForecast queue;
    queue.queue_ = fields.text("queue");
    queue.ratio_ = fields.number("ratio", MaxRatio);
    queue.timely_ = {fields.milliseconds("timely_cores_ms", MaxWaitMs), fields.milliseconds("timely_accelerators_ms", MaxWaitMs)};
    queue.useful_ = {fields.milliseconds("useful_cores_ms", MaxWaitMs), fields.milliseconds("useful_accelerators_ms", MaxWaitMs)};
    queue.typicalPath_ = fields.milliseconds("path_ms", MaxPathMs);
    queue.blockedTask_ = {
        fields.integer("blocked_milli_cores", MaxDemand), fields.integer("blocked_memory_mb", MaxDemand), fields.integer("blocked_accelerators", MaxDemand)};
    return fields.isValid() ? std::optional(std::move(queue)) : std::nullopt;
}

/// A time of whole seconds within the upper half of the given one, so that rejected callers do not return together.
auto spreadOver(std::chrono::milliseconds time, const JobId &job, BootTime now) -> std::chrono::seconds
{
    const auto longest = std::clamp(std::chrono::ceil<std::chrono::seconds>(time), std::chrono::seconds(1), MaxRetryAfter).count();
    const auto shortest = (longest + 1) / 2;
    const auto hash = std::hash<std::string>()(job.value() + "/" + std::to_string(now.time_since_epoch().count()));
    return std::chrono::seconds(shortest + static_cast<std::int64_t>(hash % static_cast<std::size_t>(longest - shortest + 1)));
}
} // namespace

auto encodeBacklog(const BacklogRecord &record) -> std::string
{
    auto queues = Json::array();
    for (const auto &queue : record.queues_) {
        queues.push_back(encodeQueue(queue));
    }
    return Json{{"epoch", record.epoch_}, {"number", record.number_}, {"queues", std::move(queues)}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto decodeBacklog(const std::string &value) -> Result<BacklogRecord>
{
    const auto document = Json::parse(value, nullptr, false);
    FieldReader fields(document);
    BacklogRecord record;
    record.epoch_ = static_cast<std::uint64_t>(fields.integer("epoch", std::numeric_limits<std::int64_t>::max()));
    record.number_ = static_cast<std::uint64_t>(fields.integer("number", std::numeric_limits<std::int64_t>::max()));
    for (const auto &object : fields.list("queues")) {
        auto queue = decodeQueue(object);
        if (!queue) {
            return Error{ErrorKind::Malformed, "a queue's forecast has a missing field or one out of range", std::nullopt};
        }
        record.queues_.push_back(std::move(*queue));
    }
    if (!fields.isValid()) {
        return Error{ErrorKind::Malformed, "the record is not an object with epoch, number and queues", std::nullopt};
    }
    return record;
}

auto AdmissionControl::onRecord(BacklogRecord record, std::uint64_t leaderEpoch, BootTime now) -> void
{
    if (record.epoch_ == leaderEpoch && std::tie(record.epoch_, record.number_) > std::tie(record_.epoch_, record_.number_)) {
        record_ = std::move(record);
        arrivedAt_ = now;
    }
}

auto AdmissionControl::decide(const JobId &job, const JobPlan &plan, const QueueConfig &queue, std::uint64_t leaderEpoch, BootTime now) const
    -> std::optional<AdmissionRejection>
{
    const auto lasting = std::any_of(plan.steps_.begin(), plan.steps_.end(), [](const StepPlan &step) {
        return step.service_;
    });
    if (record_.epoch_ != leaderEpoch || now - arrivedAt_ > MaxRecordAge || queue.priority_ <= 0 || plan.occurrences_ > 0 || lasting) {
        return std::nullopt;
    }
    const auto found = std::find_if(record_.queues_.begin(), record_.queues_.end(), [&queue](const QueueForecast &forecast) {
        return forecast.queue_ == queue.name_;
    });
    if (found == record_.queues_.end()) {
        return std::nullopt;
    }
    const auto forecast = forecastStart(*found, queue, plan);
    if (!forecast.isHopeless()) {
        return std::nullopt;
    }
    return AdmissionRejection{forecast, spreadOver(forecast.startsIn_ - forecast.lastUsefulStart_, job, now)};
}
} // namespace Marjoramfold
