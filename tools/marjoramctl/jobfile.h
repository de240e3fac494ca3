#pragma once

#include "marjoramfold/core/job.h"

#include <string>
#include <string_view>
#include <variant>

namespace Marjoramfold::Ctl
{
/// Why a job file is rejected; line and column are 0 when the position is unknown.
struct JobFileError {
    int line_ = 0;
    int column_ = 0;
    std::string reason_;
};

/// Reads a job from TOML text: name, team, gang_size, [task] accelerators, cores, memory_mb, adjacency, priority,
/// declared_run_time_s, availability_zones, checkpointable, grace_s. Unknown keys are rejected, since they are likely misspelled.
[[nodiscard]] auto parseJobFile(std::string_view text, const JobId &id) -> std::variant<JobSpec, JobFileError>;

/// Formats an error as FILE:LINE:COLUMN: REASON.
[[nodiscard]] auto toString(std::string_view file, const JobFileError &error) -> std::string;
} // namespace Marjoramfold::Ctl
