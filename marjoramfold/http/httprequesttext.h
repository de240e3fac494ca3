#pragma once

#include "marjoramfold/http/httpclient.h"

#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace Marjoramfold
{
/// Parses an address IP:PORT; empty when malformed.
[[nodiscard]] auto parseEndpoint(const std::string &address) -> std::optional<asio::ip::tcp::endpoint>;

/// Encodes a request as an HTTP/1.1 message.
[[nodiscard]] auto encodeRequest(const HttpClientRequest &request) -> std::string;
} // namespace Marjoramfold
