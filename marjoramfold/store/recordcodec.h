#pragma once

#include "marjoramfold/core/result.h"

#include <cereal/archives/portable_binary.hpp>

#include <exception>
#include <sstream>
#include <string>
#include <utility>

namespace Marjoramfold
{
/// Encodes a record value in cereal's portable binary format.
template<typename Value>
[[nodiscard]] auto encodeRecordValue(const Value &value) -> std::string
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    return std::move(stream).str();
}

/// Decodes a record value written by encodeRecordValue(), and returns what follows it in `rest` unless that is null. Error: Malformed, for
/// example for a truncated value, on which cereal throws.
template<typename Value>
[[nodiscard]] auto decodeRecordValue(const std::string &text, std::string *rest = nullptr) -> Result<Value>
{
    try {
        std::istringstream stream(text);
        cereal::PortableBinaryInputArchive archive(stream);
        Value value;
        archive(value);
        if (rest != nullptr) {
            *rest = text.substr(static_cast<std::size_t>(stream.tellg()));
        }
        return value;
    } catch (const std::exception &exception) {
        return Error{ErrorKind::Malformed, exception.what(), std::nullopt};
    }
}
} // namespace Marjoramfold
