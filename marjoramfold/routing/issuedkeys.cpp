#include "marjoramfold/routing/issuedkeys.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cassert>
#include <charconv>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view IssuedKeyPrefix = "ik1~";
/// Needs no escaping in a URL and does not occur in instance ids.
constexpr char FieldSeparator = '~';
/// Larger values would overflow the nanoseconds of a time point.
constexpr std::int64_t MaxUnixSeconds = 9'000'000'000;

auto signatureOf(const std::string &secret, std::string_view text) -> std::string
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         secret.data(),
         static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest.data(),
         &length);
    constexpr std::string_view HexDigits = "0123456789abcdef";
    std::string hex;
    hex.reserve(std::size_t(length) * 2);
    for (unsigned int i = 0; i < length; ++i) {
        hex += HexDigits[digest[i] >> 4U];
        hex += HexDigits[digest[i] & 15U];
    }
    return hex;
}

auto equalInConstantTime(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

template<typename Number>
auto parseInteger(std::string_view text) -> std::optional<Number>
{
    Number number = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// Removes the text up to the next separator from the front and returns it.
auto popField(std::string_view &rest) -> std::string_view
{
    const auto end = std::min(rest.find(FieldSeparator), rest.size());
    const auto field = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    return field;
}

auto unauthorized() -> Error
{
    return {ErrorKind::Unauthorized, "the key was not issued by this system", std::nullopt};
}
} // namespace

IssuedKeys::IssuedKeys(std::vector<std::string> secrets)
    : secrets_(std::move(secrets))
{
}

auto IssuedKeys::issue(const IssuedKey &content, std::uint64_t nonce) const -> std::string
{
    assert(!secrets_.empty());
    const auto expiry = std::chrono::duration_cast<std::chrono::seconds>(content.expiry_.time_since_epoch()).count();
    auto key = std::string(IssuedKeyPrefix) + content.issuer_.instance_.value() + FieldSeparator + std::to_string(content.issuer_.incarnation_) + FieldSeparator
        + std::to_string(expiry) + FieldSeparator + std::to_string(nonce);
    return key + FieldSeparator + signatureOf(secrets_.front(), key);
}

auto IssuedKeys::verify(const std::string &key, WallTime now) const -> Result<IssuedKey>
{
    const auto signatureAt = key.rfind(FieldSeparator);
    if (!isIssued(key) || signatureAt < IssuedKeyPrefix.size()) {
        return unauthorized();
    }
    const auto text = std::string_view(key).substr(0, signatureAt);
    const auto signature = std::string_view(key).substr(signatureAt + 1);
    auto isSigned = false;
    for (const auto &secret : secrets_) {
        isSigned = equalInConstantTime(signatureOf(secret, text), signature) || isSigned;
    }
    if (!isSigned) {
        return unauthorized();
    }
    auto rest = text.substr(IssuedKeyPrefix.size());
    const auto instance = popField(rest);
    const auto incarnation = parseInteger<std::uint64_t>(popField(rest));
    const auto expiry = parseInteger<std::int64_t>(popField(rest));
    if (!incarnation || !expiry || *expiry < 0 || *expiry > MaxUnixSeconds) {
        return unauthorized();
    }
    IssuedKey content{{InstanceId(std::string(instance)), *incarnation}, WallTime(std::chrono::seconds(*expiry))};
    if (now >= content.expiry_) {
        return Error{ErrorKind::KeyExpired, "the issued key has expired", std::nullopt};
    }
    return content;
}

auto IssuedKeys::isIssued(std::string_view key) -> bool
{
    return key.starts_with(IssuedKeyPrefix);
}

auto callerKeyTime(std::string_view key) -> std::optional<WallTime>
{
    const auto dot = key.find('.');
    if (dot == std::string_view::npos || dot + 1 == key.size()) {
        return std::nullopt;
    }
    const auto seconds = parseInteger<std::int64_t>(key.substr(0, dot));
    if (!seconds || *seconds < 0 || *seconds > MaxUnixSeconds) {
        return std::nullopt;
    }
    return WallTime(std::chrono::seconds(*seconds));
}
} // namespace Marjoramfold
