#include "marjoramfold/entry/settingsreader.h"

#include <asio/ip/address_v4.hpp>

#include <charconv>
#include <utility>

namespace Marjoramfold
{
SettingsReader::SettingsReader(const toml::table &table, std::string prefix, std::vector<std::string> &problems)
    : table_(table)
    , prefix_(std::move(prefix))
    , problems_(problems)
{
}

auto SettingsReader::text(std::string_view key) -> std::string
{
    auto value = optionalText(key);
    if (value.empty() && table_.get(key) == nullptr) {
        report(key, "is missing");
    } else if (value.empty() && table_.get(key)->is_string()) {
        report(key, "must not be empty");
    }
    return value;
}

auto SettingsReader::optionalText(std::string_view key) -> std::string
{
    known_.emplace(key);
    const auto *node = table_.get(key);
    if (node == nullptr) {
        return {};
    }
    if (!node->is_string()) {
        report(key, "must be a string");
        return {};
    }
    return node->value_or(std::string());
}

auto SettingsReader::number(std::string_view key, std::int64_t least, std::int64_t most, std::optional<std::int64_t> fallback) -> std::int64_t
{
    known_.emplace(key);
    const auto *node = table_.get(key);
    if (node == nullptr) {
        if (!fallback) {
            report(key, "is missing");
        }
        return fallback.value_or(least);
    }
    const auto value = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
    if (!value) {
        report(key, "must be a whole number");
        return least;
    }
    if (*value < least || *value > most) {
        report(key, "must be from " + std::to_string(least) + " to " + std::to_string(most));
        return least;
    }
    return *value;
}

auto SettingsReader::address(std::string_view key) -> std::string
{
    auto value = text(key);
    if (!value.empty() && !isAddress(value)) {
        report(key, "must be IPv4:PORT, not '" + value + "'");
    }
    return value;
}

auto SettingsReader::finish() -> void
{
    for (const auto &[key, node] : table_) {
        if (!known_.contains(key.str())) {
            report(key.str(), "is not a known key");
        }
    }
}

auto SettingsReader::report(std::string_view key, std::string_view reason) -> void
{
    problems_.push_back(prefix_ + std::string(key) + " " + std::string(reason));
}

auto isIpAddress(std::string_view text) -> bool
{
    std::error_code error;
    static_cast<void>(asio::ip::make_address_v4(std::string(text), error));
    return !error;
}

auto isAddress(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isIpAddress(text.substr(0, colon))) {
        return false;
    }
    const auto port = text.substr(colon + 1);
    std::uint16_t number = 0;
    const auto *end = port.data() + port.size();
    const auto result = std::from_chars(port.data(), end, number);
    return result.ec == std::errc() && result.ptr == end && number != 0;
}
} // namespace Marjoramfold
