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
/// Reads required fields of a JSON object and remembers the first that is missing or wrong. Unknown fields are ignored.
class JsonFields
{
public:
    explicit JsonFields(const nlohmann::json &object);

    /// A text; empty after an error.
    [[nodiscard]] auto text(const char *name) -> std::string;

    /// A text that must not be empty, as an identifier.
    template<typename Id>
    [[nodiscard]] auto id(const char *name) -> Id
    {
        auto value = text(name);
        if (value.empty()) {
            fail(name, "must not be empty");
        }
        return Id(std::move(value));
    }

    /// A whole number within limits; the minimum after an error.
    [[nodiscard]] auto integer(const char *name, std::int64_t minimum = 0, std::int64_t maximum = std::numeric_limits<std::int64_t>::max()) -> std::int64_t;

    /// A log offset.
    [[nodiscard]] auto offset(const char *name) -> Offset;

    /// A duration or time of day in milliseconds, not negative.
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
                fail(name, "must hold texts that are not empty");
                return {};
            }
            ids.emplace_back(item.get<std::string>());
        }
        return ids;
    }

    /// A text that one of the ...FromString functions knows.
    template<typename Enum>
    [[nodiscard]] auto named(const char *name, std::optional<Enum> (*fromString)(std::string_view)) -> Enum
    {
        const auto value = fromString(text(name));
        if (!value) {
            fail(name, "has an unknown value");
        }
        return value.value_or(Enum());
    }

    /// True when a field is there; for fields that may be left out.
    [[nodiscard]] auto has(const char *name) const -> bool;

    /// Remembers that a field is wrong, unless another was wrong before.
    auto fail(const char *name, const std::string &reason) -> void;

    /// Takes over the error of a nested reader.
    auto failAs(const JsonFields &nested) -> void;

    /// Malformed for the first wrong field; nothing when all were right.
    [[nodiscard]] auto error() const -> const std::optional<Error> &;

private:
    [[nodiscard]] auto find(const char *name) -> const nlohmann::json *;

    const nlohmann::json &object_;
    std::optional<Error> error_;
};
} // namespace Marjoramfold
