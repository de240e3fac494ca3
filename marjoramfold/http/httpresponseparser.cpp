#include "marjoramfold/http/httpresponseparser.h"

#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr int Continue = 0;
constexpr int Abort = 1;
constexpr unsigned FirstFinalStatus = 200;

auto selfOf(http_parser *parser) -> HttpResponseParser &
{
    return *static_cast<HttpResponseParser *>(parser->data);
}
} // namespace

HttpResponseParser::HttpResponseParser(std::size_t maxBodyBytes)
    : maxBodyBytes_(maxBodyBytes)
{
    reset();
}

auto HttpResponseParser::settings() -> const http_parser_settings &
{
    static const auto Callbacks = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_header_field = &HttpResponseParser::onHeaderField;
        settings.on_header_value = &HttpResponseParser::onHeaderValue;
        settings.on_body = &HttpResponseParser::onBody;
        settings.on_message_complete = &HttpResponseParser::onMessageComplete;
        return settings;
    }();
    return Callbacks;
}

auto HttpResponseParser::reset() -> void
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    response_ = {};
    state_ = State::Incomplete;
    lastWasValue_ = true;
    keepsConnection_ = false;
}

auto HttpResponseParser::parse(std::string_view bytes) -> State
{
    const auto parsed = http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
    // The parser pauses at the end of the response.
    const auto paused = HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED;
    if (parsed != bytes.size() || (HTTP_PARSER_ERRNO(&parser_) != HPE_OK && !paused)) {
        state_ = State::Malformed;
    }
    return state_;
}

auto HttpResponseParser::parseEnd() -> State
{
    if (state_ == State::Incomplete) {
        http_parser_execute(&parser_, &settings(), nullptr, 0);
    }
    return state_ == State::Complete ? State::Complete : State::Malformed;
}

auto HttpResponseParser::keepsConnection() const -> bool
{
    return keepsConnection_;
}

auto HttpResponseParser::takeResponse() -> HttpClientResponse
{
    return std::move(response_);
}

auto HttpResponseParser::onHeaderField(http_parser *parser, const char *data, std::size_t size) -> int
{
    auto &self = selfOf(parser);
    if (std::exchange(self.lastWasValue_, false)) {
        self.response_.headers_.emplace_back();
    }
    self.response_.headers_.back().name_.append(data, size);
    return Continue;
}

auto HttpResponseParser::onHeaderValue(http_parser *parser, const char *data, std::size_t size) -> int
{
    auto &self = selfOf(parser);
    self.lastWasValue_ = true;
    self.response_.headers_.back().value_.append(data, size);
    return Continue;
}

auto HttpResponseParser::onBody(http_parser *parser, const char *data, std::size_t size) -> int
{
    auto &self = selfOf(parser);
    if (self.response_.body_.size() + size > self.maxBodyBytes_) {
        return Abort;
    }
    self.response_.body_.append(data, size);
    return Continue;
}

auto HttpResponseParser::onMessageComplete(http_parser *parser) -> int
{
    auto &self = selfOf(parser);
    if (parser->status_code < FirstFinalStatus) {
        // An interim response; the final one follows.
        self.response_ = {};
        return Continue;
    }
    self.response_.status_ = static_cast<int>(parser->status_code);
    self.keepsConnection_ = http_should_keep_alive(parser) != 0;
    self.state_ = State::Complete;
    http_parser_pause(parser, 1);
    return Continue;
}
} // namespace Marjoramfold
