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
/// A running process of an entry instance: a restart gets another incarnation.
struct InstanceIncarnation {
    InstanceId instance_;
    std::uint64_t incarnation_ = 0;

    auto operator==(const InstanceIncarnation &) const -> bool = default;
};

/// The content of an issued key.
struct IssuedKey {
    InstanceIncarnation issuer_;
    WallTime expiry_;
};

/// Issues and checks keys that name the incarnation that alone may run them.
class IssuedKeys
{
public:
    /// The secrets are shared by all instances. The first one signs, all are accepted, so that they can be replaced without a stop.
    explicit IssuedKeys(std::vector<std::string> secrets);

    /// A new key. The nonce must not repeat within an incarnation.
    [[nodiscard]] auto issue(const IssuedKey &content, std::uint64_t nonce) const -> std::string;

    /// Checks a key. Errors: Unauthorized when no secret signed it, KeyExpired.
    [[nodiscard]] auto verify(const std::string &key, WallTime now) const -> Result<IssuedKey>;

    /// True when a key has the form of an issued key.
    [[nodiscard]] static auto isIssued(std::string_view key) -> bool;

private:
    std::vector<std::string> secrets_;
};

/// Time that a caller's key UNIXSECONDS.ANYTHING names; nothing when the key has another form.
[[nodiscard]] auto callerKeyTime(std::string_view key) -> std::optional<WallTime>;
} // namespace Marjoramfold
