#pragma once

#include "marjoramfold/http/httpclient.h"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Marjoramfold
{
/// Parses the responses of one connection, one after the other.
class HttpResponseParser
{
public:
    /// State of the current response.
    enum class State : std::uint8_t {
        Incomplete,
        Complete,
        Malformed,
    };

    /// Responses with a larger body count as malformed.
    explicit HttpResponseParser(std::size_t maxBodyBytes);

    /// Starts the next response.
    auto reset() -> void;

    /// Parses received bytes; bytes after the end of the response make it malformed, since no further request was sent.
    auto parse(std::string_view bytes) -> State;

    /// Handles the end of the connection, which ends a response without a length.
    auto parseEnd() -> State;

    /// True when the connection can be used for another request after a complete response.
    [[nodiscard]] auto keepsConnection() const -> bool;

    /// Returns the complete response.
    [[nodiscard]] auto takeResponse() -> HttpClientResponse;

private:
    static auto onHeaderField(http_parser *parser, const char *data, std::size_t size) -> int;
    static auto onHeaderValue(http_parser *parser, const char *data, std::size_t size) -> int;
    static auto onBody(http_parser *parser, const char *data, std::size_t size) -> int;
    static auto onMessageComplete(http_parser *parser) -> int;
    [[nodiscard]] static auto settings() -> const http_parser_settings &;

    std::size_t maxBodyBytes_;
    http_parser parser_{};
    HttpClientResponse response_;
    State state_ = State::Incomplete;
    bool lastWasValue_ = true;
    bool keepsConnection_ = false;
};
} // namespace Marjoramfold
