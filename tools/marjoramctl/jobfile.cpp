#include "jobfile.h"

#include "marjoramfold/core/jobjson.h"

#include <toml++/toml.h>

#include <array>
#include <cmath>
#include <limits>
#include <optional>

namespace Marjoramfold::Ctl
{
namespace
{
/// One leap year; longer times are typing errors.
constexpr double MaxDurationSeconds = 366.0 * 86'400.0;

/// A key of the JSON form that is named differently in the file.
struct KeyName {
    std::string_view json_;
    std::string_view file_;
};

constexpr std::array FileKeys{
    KeyName{"declared_run_time_ms", "declared_run_time_s"},
    KeyName{"grace_ms", "grace_s"},
};

/// Reads a job from parsed TOML and keeps the first error.
class JobFileReader
{
public:
    explicit JobFileReader(const toml::table &root)
        : root_(root)
    {
    }

    auto read(const JobId &id) -> std::variant<JobSpec, JobFileError>
    {
        spec_.id_ = id;
        rejectUnknownKeys(root_,
                          "",
                          {"name",
                           "team",
                           "gang_size",
                           "task",
                           "adjacency",
                           "priority",
                           "declared_run_time_s",
                           "availability_zones",
                           "checkpointable",
                           "grace_s",
                           "payload"});
        std::string team;
        readText("team", team);
        spec_.team_ = TeamId(std::move(team));
        readText("name", spec_.name_);
        readText("payload", spec_.payload_);
        readNumber(root_, "", "gang_size", spec_.gangSize_);
        readTask();
        readEnum("adjacency", spec_.adjacency_, adjacencyFromString, "none, worker, rack");
        readEnum("priority", spec_.priority_, priorityClassFromString, "batch, normal, urgent");
        readSeconds("declared_run_time_s", spec_.declaredRunTime_);
        readSeconds("grace_s", spec_.grace_);
        readZones();
        readBoolean("checkpointable", spec_.checkpointable_);
        if (!error_) {
            checkRanges();
        }
        if (error_) {
            return *error_;
        }
        return spec_;
    }

private:
    auto fail(const toml::node *node, const std::string &key, const std::string &reason) -> void
    {
        if (error_) {
            return;
        }
        error_ = JobFileError{0, 0, "key '" + key + "' " + reason};
        if (node != nullptr) {
            error_->line_ = static_cast<int>(node->source().begin.line);
            error_->column_ = static_cast<int>(node->source().begin.column);
        }
    }

    auto rejectUnknownKeys(const toml::table &table, const std::string &prefix, std::initializer_list<std::string_view> known) -> void
    {
        for (const auto &[key, node] : table) {
            if (std::find(known.begin(), known.end(), key.str()) == known.end()) {
                fail(&node, prefix + std::string(key.str()), "is not known");
            }
        }
    }

    auto readText(const char *key, std::string &value) -> void
    {
        const auto *node = root_.get(key);
        if (node == nullptr) {
            return;
        }
        if (const auto *string = node->as_string()) {
            value = string->get();
        } else {
            fail(node, key, "must be a string");
        }
    }

    template<typename Number>
    auto readNumber(const toml::table &table, const std::string &prefix, const char *key, Number &value) -> void
    {
        const auto *node = table.get(key);
        if (node == nullptr) {
            return;
        }
        const auto *integer = node->as_integer();
        if (integer == nullptr) {
            fail(node, prefix + key, "must be a whole number");
        } else if (integer->get() < std::numeric_limits<Number>::min() || integer->get() > std::numeric_limits<Number>::max()) {
            fail(node, prefix + key, "is out of range");
        } else {
            value = static_cast<Number>(integer->get());
        }
    }

    auto readSeconds(const char *key, std::chrono::milliseconds &value) -> void
    {
        const auto *node = root_.get(key);
        if (node == nullptr) {
            return;
        }
        const auto count = node->is_number() ? node->value<double>() : std::nullopt;
        if (!count || !std::isfinite(*count) || *count < 0 || *count > MaxDurationSeconds) {
            fail(node, key, "must be a number of seconds, at most a year");
        } else {
            value = std::chrono::milliseconds(std::llround(*count * 1'000.0));
        }
    }

    auto readBoolean(const char *key, bool &value) -> void
    {
        const auto *node = root_.get(key);
        if (node == nullptr) {
            return;
        }
        if (const auto *flag = node->as_boolean()) {
            value = flag->get();
        } else {
            fail(node, key, "must be true or false");
        }
    }

    template<typename Enum, typename Parse>
    auto readEnum(const char *key, Enum &value, const Parse &parse, const std::string &choices) -> void
    {
        std::string name;
        readText(key, name);
        const auto *node = root_.get(key);
        if (node == nullptr) {
            return;
        }
        if (const auto parsed = parse(name)) {
            value = *parsed;
        } else {
            fail(node, key, "must be one of " + choices);
        }
    }

    auto readTask() -> void
    {
        const auto *node = root_.get("task");
        if (node == nullptr) {
            fail(nullptr, "task", "is missing");
            return;
        }
        const auto *table = node->as_table();
        if (table == nullptr) {
            fail(node, "task", "must be a table");
            return;
        }
        rejectUnknownKeys(*table, "task.", {"accelerators", "cores", "memory_mb"});
        readNumber(*table, "task.", "accelerators", spec_.task_.accelerators_);
        readNumber(*table, "task.", "cores", spec_.task_.cores_);
        readNumber(*table, "task.", "memory_mb", spec_.task_.memoryMb_);
    }

    auto readZones() -> void
    {
        const auto *node = root_.get("availability_zones");
        if (node == nullptr) {
            return;
        }
        const auto *list = node->as_array();
        if (list == nullptr) {
            fail(node, "availability_zones", "must be a list of strings");
            return;
        }
        for (const auto &item : *list) {
            if (const auto *zone = item.as_string()) {
                spec_.allowedZones_.emplace_back(zone->get());
            } else {
                fail(&item, "availability_zones", "must be a list of strings");
            }
        }
    }

    /// Checks the ranges that the JSON form has, and reports errors under the key names of the file.
    auto checkRanges() -> void
    {
        const auto fault = findInvalidField(spec_);
        if (!fault) {
            return;
        }
        auto key = fault->key_;
        for (const auto &name : FileKeys) {
            if (key == name.json_) {
                key = name.file_;
            }
        }
        fail(root_.at_path(key).node(), key, fault->reason_);
    }

    const toml::table &root_;
    JobSpec spec_;
    std::optional<JobFileError> error_;
};
} // namespace

auto parseJobFile(std::string_view text, const JobId &id) -> std::variant<JobSpec, JobFileError>
{
    try {
        const toml::table root = toml::parse(text);
        return JobFileReader(root).read(id);
    } catch (const toml::parse_error &error) {
        const auto &begin = error.source().begin;
        return JobFileError{static_cast<int>(begin.line), static_cast<int>(begin.column), std::string(error.description())};
    }
}

auto toString(std::string_view file, const JobFileError &error) -> std::string
{
    std::string text(file);
    if (error.line_ > 0) {
        text += ":" + std::to_string(error.line_) + ":" + std::to_string(error.column_);
    }
    return text + ": " + error.reason_;
}
} // namespace Marjoramfold::Ctl
