#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace Marjoramfold
{
/// A value of an enumeration and its name in files and messages.
template<typename Enum>
using NamedValue = std::pair<Enum, std::string_view>;

/// Name of a value; empty when the table lacks it.
template<typename Enum, std::size_t Size>
[[nodiscard]] auto nameOf(const std::array<NamedValue<Enum>, Size> &names, Enum value) -> std::string_view
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return {};
}

/// The value with a name, if there is one.
template<typename Enum, std::size_t Size>
[[nodiscard]] auto valueNamed(const std::array<NamedValue<Enum>, Size> &names, std::string_view wanted) -> std::optional<Enum>
{
    for (const auto &[value, name] : names) {
        if (name == wanted) {
            return value;
        }
    }
    return std::nullopt;
}
} // namespace Marjoramfold
