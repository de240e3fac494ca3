#pragma once

#include "marjoramfold/core/job.h"
#include "marjoramfold/core/result.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace Marjoramfold
{
/// Longest identifier or name in a job, in bytes; keeps records and metric labels small.
constexpr std::size_t MaxJobTextBytes = 128;

/// Longest payload of a job, in bytes; it is part of the job's records in the log.
constexpr std::size_t MaxJobPayloadBytes = 16'384;

/// A key of a job and why its value is invalid.
struct InvalidJobField {
    /// Key as in the JSON form, for example "gang_size" or "task.cores".
    std::string key_;
    std::string reason_;
};

/// True for a valid identifier of a job, team or availability zone: 1 to 128 letters, digits, '.', '_', ':' or '-'.
/// Such an identifier needs no escaping in URLs, metric labels and log lines.
[[nodiscard]] auto isPlainIdentifier(std::string_view text) -> bool;

/// Validates a job; returns the first invalid key, if there is one.
[[nodiscard]] auto findInvalidField(const JobSpec &spec) -> std::optional<InvalidJobField>;

/// JSON form of a job as in log records and the API:
/// {"id","team","name","gang_size","task":{"accelerators","cores","memory_mb"},"adjacency","priority",
/// "declared_run_time_ms","availability_zones":[...],"checkpointable","grace_ms","payload"}.
[[nodiscard]] auto toJson(const JobSpec &spec) -> nlohmann::json;

/// Parses the JSON form. Absent keys default to the values of JobSpec, except for id and team, which are required; unknown keys
/// are ignored, so that records of a newer version can be read. Error: InvalidRequest with the key and the reason.
[[nodiscard]] auto jobSpecFromJson(const nlohmann::json &json) -> Result<JobSpec>;
} // namespace Marjoramfold
