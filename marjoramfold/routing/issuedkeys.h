#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// One process run of an entry instance; a restart has another incarnation number.
struct InstanceIncarnation {
    InstanceId instance_;
    std::uint64_t incarnation_ = 0;

    auto operator==(const InstanceIncarnation &) const -> bool = default;
};

/// Fields of an issued key.
struct IssuedKey {
    InstanceIncarnation issuer_;
    WallTime expiry_;
};

/// Issues and verifies signed keys. Only the incarnation named in a key may execute its request.
class IssuedKeys
{
public:
    /// All instances share the secrets. The first one signs, all are accepted, so that they can be rotated without downtime.
    explicit IssuedKeys(std::vector<std::string> secrets);

    /// Returns a new key. The nonce must not repeat within an incarnation.
    [[nodiscard]] auto issue(const IssuedKey &content, std::uint64_t nonce) const -> std::string;

    /// Verifies the signature and expiry of a key. Errors: Unauthorized when it is malformed or its signature matches none of
    /// the secrets, KeyExpired.
    [[nodiscard]] auto verify(const std::string &key, WallTime now) const -> Result<IssuedKey>;

    /// True when a key has the prefix of issued keys; its signature is not verified.
    [[nodiscard]] static auto isIssued(std::string_view key) -> bool;

private:
    std::vector<std::string> secrets_;
};

/// Time in a caller's key of the form UNIXSECONDS.ANYTHING; empty when the key has another form.
[[nodiscard]] auto callerKeyTime(std::string_view key) -> std::optional<WallTime>;
} // namespace Marjoramfold
