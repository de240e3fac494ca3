#include "marjoramfold/log/jsonfields.h"

namespace Marjoramfold
{
namespace
{
auto emptyArray() -> const nlohmann::json &
{
    static const nlohmann::json Empty = nlohmann::json::array();
    return Empty;
}

auto emptyObject() -> const nlohmann::json &
{
    static const nlohmann::json Empty = nlohmann::json::object();
    return Empty;
}
} // namespace

JsonFields::JsonFields(const nlohmann::json &object)
    : object_(object)
{
    if (!object.is_object()) {
        error_ = Error{ErrorKind::Malformed, "a JSON object is expected", std::nullopt};
    }
}

auto JsonFields::text(const char *name) -> std::string
{
    const auto *value = find(name);
    if (value == nullptr || !value->is_string()) {
        fail(name, "must be a string");
        return {};
    }
    return value->get<std::string>();
}

auto JsonFields::integer(const char *name, std::int64_t minimum, std::int64_t maximum) -> std::int64_t
{
    const auto *value = find(name);
    const auto isUnsigned = value != nullptr && value->is_number_unsigned();
    const auto isTooLarge = isUnsigned && value->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (value == nullptr || !value->is_number_integer() || isTooLarge) {
        fail(name, "must be a whole number");
        return minimum;
    }
    const auto number = value->get<std::int64_t>();
    if (number < minimum || number > maximum) {
        fail(name, "is out of range");
        return minimum;
    }
    return number;
}

auto JsonFields::offset(const char *name) -> Offset
{
    return static_cast<Offset>(integer(name));
}

auto JsonFields::milliseconds(const char *name) -> std::chrono::milliseconds
{
    // The clocks count nanoseconds in 64 bits; times of day up to the year 2116 leave room for sums.
    constexpr std::int64_t MaxMilliseconds = std::numeric_limits<std::int64_t>::max() / 2'000'000;
    return std::chrono::milliseconds(integer(name, 0, MaxMilliseconds));
}

auto JsonFields::boolean(const char *name) -> bool
{
    const auto *value = find(name);
    if (value == nullptr || !value->is_boolean()) {
        fail(name, "must be true or false");
        return false;
    }
    return value->get<bool>();
}

auto JsonFields::array(const char *name) -> const nlohmann::json &
{
    const auto *value = find(name);
    if (value == nullptr || !value->is_array()) {
        fail(name, "must be an array");
        return emptyArray();
    }
    return *value;
}

auto JsonFields::object(const char *name) -> const nlohmann::json &
{
    const auto *value = find(name);
    if (value == nullptr || !value->is_object()) {
        fail(name, "must be an object");
        return emptyObject();
    }
    return *value;
}

auto JsonFields::has(const char *name) const -> bool
{
    return object_.is_object() && object_.contains(name);
}

auto JsonFields::fail(const char *name, const std::string &reason) -> void
{
    if (!error_) {
        error_ = Error{ErrorKind::Malformed, "field '" + std::string(name) + "' " + reason, std::nullopt};
    }
}

auto JsonFields::copyErrorFrom(const JsonFields &nested) -> void
{
    if (!error_) {
        error_ = nested.error_;
    }
}

auto JsonFields::error() const -> const std::optional<Error> &
{
    return error_;
}

auto JsonFields::find(const char *name) -> const nlohmann::json *
{
    if (!object_.is_object()) {
        return nullptr;
    }
    const auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
}
} // namespace Marjoramfold
