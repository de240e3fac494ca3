#pragma once

#include "marjoramfold/log/jsonfields.h"
#include "marjoramfold/log/records.h"

#include <nlohmann/json.hpp>

namespace Marjoramfold
{
/// Reads a field that holds a job specification; errors are recorded in fields.
[[nodiscard]] auto readJobSpec(JsonFields &fields, const char *name) -> JobSpec;

/// JSON form of a job's status within a snapshot.
[[nodiscard]] auto encodeJobStatus(const JobStatus &status) -> nlohmann::json;

/// Reads a job status; errors are recorded in fields.
[[nodiscard]] auto readJobStatus(JsonFields &fields) -> JobStatus;

/// JSON array of identifiers.
template<typename Id>
[[nodiscard]] auto encodeIds(const std::vector<Id> &ids) -> nlohmann::json
{
    auto array = nlohmann::json::array();
    for (const auto &id : ids) {
        array.push_back(id.value());
    }
    return array;
}
} // namespace Marjoramfold
