#include "marjoramfold/membership/keyring.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <cassert>

namespace Marjoramfold
{
auto KeyRing::accept(KeyId id, std::string secret) -> bool
{
    if (secret.size() < MinSecretBytes) {
        return false;
    }
    secrets_[id] = std::move(secret);
    return true;
}

auto KeyRing::signWith(KeyId id) -> bool
{
    if (!accepts(id)) {
        return false;
    }
    signing_ = id;
    hasSigning_ = true;
    return true;
}

auto KeyRing::remove(KeyId id) -> bool
{
    if (hasSigning_ && id == signing_) {
        return false;
    }
    return secrets_.erase(id) == 1;
}

auto KeyRing::signingKey() const -> KeyId
{
    return signing_;
}

auto KeyRing::canSign() const -> bool
{
    return hasSigning_;
}

auto KeyRing::accepts(KeyId id) const -> bool
{
    return secrets_.contains(id);
}

auto KeyRing::mac(KeyId id, std::string_view data, std::string_view context) const -> MessageMac
{
    const auto secret = secrets_.find(id);
    assert(secret != secrets_.end());
    std::string input;
    input.reserve(data.size() + context.size());
    input.append(data).append(context);
    MessageMac result{};
    unsigned int size = 0;
    const auto *done = HMAC(EVP_sha256(),
                            secret->second.data(),
                            static_cast<int>(secret->second.size()),
                            reinterpret_cast<const unsigned char *>(input.data()),
                            input.size(),
                            result.data(),
                            &size);
    assert(done != nullptr && size == result.size());
    static_cast<void>(done);
    return result;
}

auto KeyRing::verify(KeyId id, std::string_view data, std::string_view context, std::string_view mac) const -> bool
{
    if (!accepts(id)) {
        return false;
    }
    const auto expected = this->mac(id, data, context);
    return mac.size() == expected.size() && CRYPTO_memcmp(mac.data(), expected.data(), expected.size()) == 0;
}
} // namespace Marjoramfold
