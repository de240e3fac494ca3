#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace Marjoramfold
{
/// Reads required fields of a JSON object and keeps an error for the first missing or invalid one. Unknown fields are ignored.
class JsonFields
{
public:
    explicit JsonFields(const nlohmann::json &object);

    /// A string; empty after an error.
    [[nodiscard]] auto text(const char *name) -> std::string;

    /// A non-empty string, as an identifier.
    template<typename Id>
    [[nodiscard]] auto id(const char *name) -> Id
    {
        auto value = text(name);
        if (value.empty()) {
            fail(name, "must not be empty");
        }
        return Id(std::move(value));
    }

    /// An integer within limits; the minimum after an error.
    [[nodiscard]] auto integer(const char *name, std::int64_t minimum = 0, std::int64_t maximum = std::numeric_limits<std::int64_t>::max()) -> std::int64_t;

    /// A log offset.
    [[nodiscard]] auto offset(const char *name) -> Offset;

    /// A non-negative duration or time of day in milliseconds.
    [[nodiscard]] auto milliseconds(const char *name) -> std::chrono::milliseconds;

    [[nodiscard]] auto boolean(const char *name) -> bool;

    /// An array; empty after an error.
    [[nodiscard]] auto array(const char *name) -> const nlohmann::json &;

    /// An object; empty after an error.
    [[nodiscard]] auto object(const char *name) -> const nlohmann::json &;

    /// An array of identifiers.
    template<typename Id>
    [[nodiscard]] auto idList(const char *name) -> std::vector<Id>
    {
        std::vector<Id> ids;
        for (const auto &item : array(name)) {
            if (!item.is_string() || item.get_ref<const std::string &>().empty()) {
                fail(name, "must hold non-empty strings");
                return {};
            }
            ids.emplace_back(item.get<std::string>());
        }
        return ids;
    }

    /// The name of an enumerator, parsed by one of the ...FromString functions.
    template<typename Enum>
    [[nodiscard]] auto named(const char *name, std::optional<Enum> (*fromString)(std::string_view)) -> Enum
    {
        const auto value = fromString(text(name));
        if (!value) {
            fail(name, "has an unknown value");
        }
        return value.value_or(Enum());
    }

    /// True when a field is present; for optional fields.
    [[nodiscard]] auto has(const char *name) const -> bool;

    /// Records an invalid field, unless there is an error already.
    auto fail(const char *name, const std::string &reason) -> void;

    /// Copies the error of a nested reader, unless there is an error already.
    auto copyErrorFrom(const JsonFields &nested) -> void;

    /// Malformed for the first invalid field; empty when all fields were valid.
    [[nodiscard]] auto error() const -> const std::optional<Error> &;

private:
    [[nodiscard]] auto find(const char *name) -> const nlohmann::json *;

    const nlohmann::json &object_;
    std::optional<Error> error_;
};
} // namespace Marjoramfold
