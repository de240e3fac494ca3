#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/dispatch/jobstate.h"
#include "marjoramfold/fleet/jobplan.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Marjoramfold
{
/// Number of tasks whose progress shares a record. With worker ids of the longest allowed length and a hundred failed runs of each task,
/// such a record is still within the store's limit.
constexpr std::uint32_t TasksPerProgressRecord = 256;

/// Identifies a progress record: consecutive tasks of one occurrence, counted across its steps.
struct ProgressKey {
    JobId job_;
    std::uint32_t occurrence_ = 0;
    std::uint32_t part_ = 0;

    auto operator<=>(const ProgressKey &) const = default;
};

/// Formats a key for the store as JOB.OCCURRENCE, followed by .PART for all parts but the first.
[[nodiscard]] auto toString(const ProgressKey &key) -> std::string;

/// Reads a key from the store; empty if it is malformed.
[[nodiscard]] auto parseProgressKey(const std::string &text) -> std::optional<ProgressKey>;

/// Part of the progress that contains a task.
[[nodiscard]] auto progressPartOf(const JobPlan &plan, std::uint32_t step, std::uint32_t index) -> std::uint32_t;

/// Number of parts of an occurrence's progress.
[[nodiscard]] auto progressPartCount(const JobPlan &plan) -> std::uint32_t;

/// What a progress record contains of the tasks' checkpoints.
enum class StoredCheckpoints : std::uint8_t {
    All,
    None,
};

/// Encodes the stored part of the state of a part's tasks.
[[nodiscard]] auto encodeProgress(const OccurrenceState &occurrence, std::uint32_t part, StoredCheckpoints checkpoints) -> std::string;

/// Decodes a progress record into an occurrence; replaces the state of the tasks that it names, and returns the last of their parts.
/// Error: Malformed, without any effect.
[[nodiscard]] auto decodeProgress(const std::string &value, const JobPlan &plan, OccurrenceState &occurrence) -> Result<std::uint32_t>;

/// Gives the members of a gang their common state again, which may be stored for only some of them when a leader failed between two appends.
auto unifyGang(StepState &step) -> void;
} // namespace Marjoramfold
