#include "marjoramfold/core/jobjson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace Marjoramfold
{
namespace
{
using nlohmann::json;

/// Limit on cores and on accelerators of a task: far above any worker, low enough that sums over a gang cannot overflow.
constexpr int MaxResourceCount = 1'000'000;
constexpr std::int64_t MaxMemoryMb = 1'000'000'000;

/// Limit on declared run time and grace, a year: keeps sums of times far from overflow.
constexpr std::chrono::milliseconds MaxJobDuration = std::chrono::hours(24 * 366);

/// Limit on the availability zones in a job.
constexpr std::size_t MaxZones = 64;

auto isPrintable(std::string_view text) -> bool
{
    return std::none_of(text.begin(), text.end(), [](unsigned char c) {
        return c < 0x20U || c == 0x7fU;
    });
}

/// Reads the values of one JSON object and keeps the first invalid one.
class JobFieldReader
{
public:
    JobFieldReader(const json &object, std::string prefix, std::optional<InvalidJobField> &invalid)
        : object_(object)
        , prefix_(std::move(prefix))
        , invalid_(invalid)
    {
    }

    auto fail(std::string_view key, std::string reason) -> void
    {
        if (!invalid_) {
            invalid_ = InvalidJobField{prefix_ + std::string(key), std::move(reason)};
        }
    }

    auto find(const char *key) const -> const json *
    {
        const auto found = object_.find(key);
        return found == object_.end() ? nullptr : &*found;
    }

    auto text(const char *key, std::string &value) -> void
    {
        const auto *found = find(key);
        if (found == nullptr) {
            return;
        }
        if (!found->is_string()) {
            fail(key, "must be a string");
            return;
        }
        value = found->get<std::string>();
    }

    auto boolean(const char *key, bool &value) -> void
    {
        const auto *found = find(key);
        if (found == nullptr) {
            return;
        }
        if (!found->is_boolean()) {
            fail(key, "must be true or false");
            return;
        }
        value = found->get<bool>();
    }

    template<typename Number>
    auto number(const char *key, Number &value) -> void
    {
        const auto *found = find(key);
        if (found == nullptr) {
            return;
        }
        // The range check on the double comes first, because converting a larger number to an integer is undefined behavior.
        if (!found->is_number_integer() || found->get<double>() > 1e15 || found->get<double>() < -1e15) {
            fail(key, "must be a whole number");
            return;
        }
        const auto wideValue = found->get<std::int64_t>();
        if (wideValue < std::numeric_limits<Number>::min() || wideValue > std::numeric_limits<Number>::max()) {
            fail(key, "is out of range");
            return;
        }
        value = static_cast<Number>(wideValue);
    }

    auto milliseconds(const char *key, std::chrono::milliseconds &value) -> void
    {
        auto count = std::int64_t(value.count());
        number(key, count);
        value = std::chrono::milliseconds(count);
    }

    template<typename Enum, typename Parse>
    auto name(const char *key, Enum &value, const Parse &parse, std::string_view choices) -> void
    {
        std::string nameText;
        text(key, nameText);
        if (find(key) == nullptr) {
            return;
        }
        const auto parsed = parse(nameText);
        if (!parsed) {
            fail(key, "must be one of " + std::string(choices));
            return;
        }
        value = *parsed;
    }

private:
    const json &object_;
    std::string prefix_;
    std::optional<InvalidJobField> &invalid_;
};

auto readTask(JobFieldReader &parent, std::optional<InvalidJobField> &invalid, Resources &task) -> void
{
    const auto *object = parent.find("task");
    if (object == nullptr) {
        return;
    }
    if (!object->is_object()) {
        parent.fail("task", "must be an object");
        return;
    }
    JobFieldReader reader(*object, "task.", invalid);
    reader.number("accelerators", task.accelerators_);
    reader.number("cores", task.cores_);
    reader.number("memory_mb", task.memoryMb_);
}

auto readZones(JobFieldReader &reader, std::vector<AvailabilityZoneId> &zones) -> void
{
    const auto *list = reader.find("availability_zones");
    if (list == nullptr) {
        return;
    }
    if (!list->is_array() || !std::all_of(list->begin(), list->end(), [](const json &item) {
            return item.is_string();
        })) {
        reader.fail("availability_zones", "must be a list of strings");
        return;
    }
    for (const auto &item : *list) {
        zones.emplace_back(item.get<std::string>());
    }
}

auto checkRange(std::string_view key, std::int64_t value, std::int64_t low, std::int64_t high) -> std::optional<InvalidJobField>
{
    if (value >= low && value <= high) {
        return std::nullopt;
    }
    return InvalidJobField{std::string(key), "must be from " + std::to_string(low) + " to " + std::to_string(high) + ", not " + std::to_string(value)};
}

auto checkIdentifier(std::string_view key, const std::string &value) -> std::optional<InvalidJobField>
{
    if (isPlainIdentifier(value)) {
        return std::nullopt;
    }
    return InvalidJobField{std::string(key), value.empty() ? "is missing" : "must be 1 to 128 letters, digits, '.', '_', ':' or '-'"};
}

auto checkZones(const std::vector<AvailabilityZoneId> &zones) -> std::optional<InvalidJobField>
{
    if (zones.size() > MaxZones) {
        return InvalidJobField{"availability_zones", "must name at most " + std::to_string(MaxZones) + " availability zones"};
    }
    for (const auto &zone : zones) {
        if (auto invalid = checkIdentifier("availability_zones", zone.value())) {
            return invalid;
        }
    }
    return std::nullopt;
}

auto checkPayload(const std::string &payload) -> std::optional<InvalidJobField>
{
    if (payload.size() <= MaxJobPayloadBytes) {
        return std::nullopt;
    }
    return InvalidJobField{"payload", "must be at most " + std::to_string(MaxJobPayloadBytes) + " bytes"};
}
} // namespace

auto isPlainIdentifier(std::string_view text) -> bool
{
    constexpr std::string_view Allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._:-";
    return !text.empty() && text.size() <= MaxJobTextBytes && text.find_first_not_of(Allowed) == std::string_view::npos;
}

auto findInvalidField(const JobSpec &spec) -> std::optional<InvalidJobField>
{
    if (spec.name_.size() > MaxJobTextBytes || !isPrintable(spec.name_)) {
        return InvalidJobField{"name", "must be at most 128 bytes without control characters"};
    }
    const auto none = std::optional<InvalidJobField>();
    for (const auto &invalid : {
             checkIdentifier("id", spec.id_.value()),
             checkIdentifier("team", spec.team_.value()),
             checkRange("gang_size", spec.gangSize_, 1, MaxGangSize),
             checkRange("task.accelerators", spec.task_.accelerators_, 0, MaxResourceCount),
             checkRange("task.cores", spec.task_.cores_, 0, MaxResourceCount),
             checkRange("task.memory_mb", spec.task_.memoryMb_, 0, MaxMemoryMb),
             checkRange("declared_run_time_ms", spec.declaredRunTime_.count(), 0, MaxJobDuration.count()),
             checkRange("grace_ms", spec.grace_.count(), 0, MaxJobDuration.count()),
             checkZones(spec.allowedZones_),
             checkPayload(spec.payload_),
         }) {
        if (invalid) {
            return invalid;
        }
    }
    return none;
}

auto toJson(const JobSpec &spec) -> json
{
    auto zones = json::array();
    for (const auto &zone : spec.allowedZones_) {
        zones.push_back(zone.value());
    }
    return {
        {"id", spec.id_.value()},
        {"team", spec.team_.value()},
        {"name", spec.name_},
        {"gang_size", spec.gangSize_},
        {"task", {{"accelerators", spec.task_.accelerators_}, {"cores", spec.task_.cores_}, {"memory_mb", spec.task_.memoryMb_}}},
        {"adjacency", std::string(toString(spec.adjacency_))},
        {"priority", std::string(toString(spec.priority_))},
        {"declared_run_time_ms", spec.declaredRunTime_.count()},
        {"availability_zones", std::move(zones)},
        {"checkpointable", spec.checkpointable_},
        {"grace_ms", spec.grace_.count()},
        {"payload", spec.payload_},
    };
}

auto jobSpecFromJson(const json &object) -> Result<JobSpec>
{
    if (!object.is_object()) {
        return Error{ErrorKind::InvalidRequest, "the job must be a JSON object", std::nullopt};
    }
    JobSpec spec;
    std::optional<InvalidJobField> invalid;
    JobFieldReader reader(object, "", invalid);
    std::string id;
    std::string team;
    reader.text("id", id);
    reader.text("team", team);
    spec.id_ = JobId(std::move(id));
    spec.team_ = TeamId(std::move(team));
    reader.text("name", spec.name_);
    reader.number("gang_size", spec.gangSize_);
    readTask(reader, invalid, spec.task_);
    reader.name("adjacency", spec.adjacency_, adjacencyFromString, "none, worker, rack");
    reader.name("priority", spec.priority_, priorityClassFromString, "batch, normal, urgent");
    reader.milliseconds("declared_run_time_ms", spec.declaredRunTime_);
    readZones(reader, spec.allowedZones_);
    reader.boolean("checkpointable", spec.checkpointable_);
    reader.milliseconds("grace_ms", spec.grace_);
    reader.text("payload", spec.payload_);
    if (!invalid) {
        invalid = findInvalidField(spec);
    }
    if (invalid) {
        return Error{ErrorKind::InvalidRequest, "key '" + invalid->key_ + "' " + invalid->reason_, std::nullopt};
    }
    return spec;
}
} // namespace Marjoramfold
