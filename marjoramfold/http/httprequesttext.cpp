#include "marjoramfold/http/httprequesttext.h"

#include <charconv>
#include <cstdint>

namespace Marjoramfold
{
auto parseEndpoint(const std::string &address) -> std::optional<asio::ip::tcp::endpoint>
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const auto *end = address.data() + address.size();
    const auto [rest, portError] = std::from_chars(address.data() + colon + 1, end, port);
    std::error_code error;
    const auto host = asio::ip::make_address(address.substr(0, colon), error);
    if (error || portError != std::errc() || rest != end) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(host, port);
}

auto encodeRequest(const HttpClientRequest &request) -> std::string
{
    auto text = request.method_ + ' ' + request.target_ + " HTTP/1.1\r\nHost: " + request.address_ + "\r\n";
    for (const auto &header : request.headers_) {
        text += header.name_ + ": " + header.value_ + "\r\n";
    }
    if (request.method_ == "POST" || !request.body_.empty()) {
        text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
    }
    return text + "\r\n" + request.body_;
}
} // namespace Marjoramfold
