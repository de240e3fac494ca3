#pragma once

#include "marjoramfold/log/jsonfields.h"
#include "marjoramfold/log/records.h"

#include <nlohmann/json.hpp>

namespace Marjoramfold
{
/// Specification of a field that holds a job; errors are left in the reader.
[[nodiscard]] auto readJobSpec(JsonFields &fields, const char *name) -> JobSpec;

/// JSON form of a job's status within a snapshot.
[[nodiscard]] auto encodeJobStatus(const JobStatus &status) -> nlohmann::json;

/// Status of a JSON object; errors are left in the reader.
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
