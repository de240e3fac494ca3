#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Marjoramfold
{
/// Number of a shared secret, sent in every envelope.
using KeyId = std::uint8_t;

/// HMAC-SHA256 of a message.
using MessageMac = std::array<std::uint8_t, 32>;

/// Shared secrets of the peers. Several are accepted at once and one signs, so that keys are rotated without downtime: first
/// accept the new key everywhere, then sign with it everywhere, then remove the old one.
class KeyRing
{
public:
    /// Shortest secret in bytes; shorter ones weaken HMAC-SHA256.
    static constexpr std::size_t MinSecretBytes = 16;

    /// Accepts a key, replacing one with the same id. False when the secret is too short.
    auto accept(KeyId id, std::string secret) -> bool;

    /// Selects the signing key. False when the key is not accepted.
    auto signWith(KeyId id) -> bool;

    /// Stops accepting a key. False for the signing key and for one that is not accepted.
    auto remove(KeyId id) -> bool;

    /// Id of the signing key; only valid when canSign().
    [[nodiscard]] auto signingKey() const -> KeyId;

    [[nodiscard]] auto canSign() const -> bool;

    [[nodiscard]] auto accepts(KeyId id) const -> bool;

    /// MAC of data followed by context under an accepted key. The context is authenticated and not sent.
    [[nodiscard]] auto mac(KeyId id, std::string_view data, std::string_view context) const -> MessageMac;

    /// Verifies a MAC in constant time. False when the key is not accepted.
    [[nodiscard]] auto verify(KeyId id, std::string_view data, std::string_view context, std::string_view mac) const -> bool;

private:
    std::map<KeyId, std::string> secrets_;
    KeyId signing_ = 0;
    bool hasSigning_ = false;
};
} // namespace Marjoramfold
