#pragma once

#include "marjoramfold/core/error.h"

#include <utility>
#include <variant>

namespace Marjoramfold
{
/// A value, or the error that prevented it.
template<typename Value>
using Result = std::variant<Value, Error>;

/// Value type of results without a value.
using Success = std::monostate;

/// True when the result holds a value.
template<typename Value>
[[nodiscard]] auto isOk(const Result<Value> &result) -> bool
{
    return result.index() == 0;
}

/// The value of a result that is known to hold one.
template<typename Value>
[[nodiscard]] auto valueOf(const Result<Value> &result) -> const Value &
{
    return std::get<0>(result);
}

/// Moves the value out of a result that is known to hold one.
template<typename Value>
[[nodiscard]] auto valueOf(Result<Value> &&result) -> Value &&
{
    return std::get<0>(std::move(result));
}

/// The error of a result that is known to hold one.
template<typename Value>
[[nodiscard]] auto errorOf(const Result<Value> &result) -> const Error &
{
    return std::get<1>(result);
}
} // namespace Marjoramfold
