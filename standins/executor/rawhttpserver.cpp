#include "rawhttpserver.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <http_parser.h>

#include <array>

namespace Marjoramfold
{
namespace
{
/// One connection: reads a request, waits for its answer, writes it, and reads the next request.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, std::shared_ptr<RawHttpServer::Handler> handler, std::shared_ptr<std::size_t> openConnections)
        : socket_(std::move(socket))
        , handler_(std::move(handler))
        , openConnections_(std::move(openConnections))
    {
        ++*openConnections_;
        std::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        http_parser_settings_init(&settings_);
        settings_.on_url = &Connection::onUrl;
        settings_.on_header_field = &Connection::onHeaderField;
        settings_.on_header_value = &Connection::onHeaderValue;
        settings_.on_body = &Connection::onBody;
        settings_.on_message_complete = &Connection::onComplete;
    }

    ~Connection()
    {
        --*openConnections_;
    }

    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    auto read() -> void
    {
        socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](const std::error_code &error, std::size_t size) {
            if (!error) {
                self->parse(size);
            }
        });
    }

private:
    static auto self(http_parser *parser) -> Connection &
    {
        return *static_cast<Connection *>(parser->data);
    }

    static auto onUrl(http_parser *parser, const char *data, std::size_t size) -> int
    {
        self(parser).request_.target_.append(data, size);
        return 0;
    }

    static auto onHeaderField(http_parser *parser, const char *data, std::size_t size) -> int
    {
        auto &connection = self(parser);
        if (connection.inHeaderValue_ || connection.request_.headers_.empty()) {
            connection.request_.headers_.emplace_back();
            connection.inHeaderValue_ = false;
        }
        connection.request_.headers_.back().name_.append(data, size);
        return 0;
    }

    static auto onHeaderValue(http_parser *parser, const char *data, std::size_t size) -> int
    {
        auto &connection = self(parser);
        connection.inHeaderValue_ = true;
        connection.request_.headers_.back().value_.append(data, size);
        return 0;
    }

    static auto onBody(http_parser *parser, const char *data, std::size_t size) -> int
    {
        self(parser).request_.body_.append(data, size);
        return 0;
    }

    static auto onComplete(http_parser *parser) -> int
    {
        auto &connection = self(parser);
        connection.complete_ = true;
        connection.request_.method_ = http_method_str(static_cast<http_method>(parser->method));
        return 0;
    }

    auto parse(std::size_t size) -> void
    {
        const auto parsedBytes = http_parser_execute(&parser_, &settings_, buffer_.data(), size);
        if (parsedBytes != size) {
            // The request is malformed or pipelined; no client of the stand-in pipelines requests.
            close();
            return;
        }
        if (!complete_) {
            read();
            return;
        }
        keepAlive_ = http_should_keep_alive(&parser_) != 0;
        complete_ = false;
        inHeaderValue_ = false;
        auto request = std::exchange(request_, RawRequest());
        (*handler_)(std::move(request), *openConnections_, [self = shared_from_this()](RawAnswer answer) {
            self->write(std::move(answer));
        });
    }

    auto write(RawAnswer answer) -> void
    {
        if (answer.dropped_) {
            close();
            return;
        }
        output_ = "HTTP/1.1 " + std::to_string(answer.status_) + " Status\r\nContent-Type: application/json\r\n";
        for (const auto &header : answer.headers_) {
            output_ += header.name_ + ": " + header.value_ + "\r\n";
        }
        const auto closeAfterWrite = answer.close_ || answer.truncated_ || !keepAlive_;
        output_ += closeAfterWrite ? "Connection: close\r\n" : "";
        output_ += "Content-Length: " + std::to_string(answer.body_.size()) + "\r\n\r\n";
        output_.append(answer.body_, 0, answer.truncated_ ? answer.body_.size() / 2 : std::string::npos);
        asio::async_write(socket_, asio::buffer(output_), [self = shared_from_this(), closeAfterWrite](const std::error_code &error, std::size_t /*size*/) {
            if (error || closeAfterWrite) {
                self->close();
                return;
            }
            self->read();
        });
    }

    auto close() -> void
    {
        std::error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    static constexpr std::size_t BufferBytes = 16'384;

    asio::ip::tcp::socket socket_;
    std::shared_ptr<RawHttpServer::Handler> handler_;
    std::shared_ptr<std::size_t> openConnections_;
    http_parser parser_{};
    http_parser_settings settings_{};
    std::array<char, BufferBytes> buffer_{};
    RawRequest request_;
    std::string output_;
    bool inHeaderValue_ = false;
    bool complete_ = false;
    bool keepAlive_ = true;
};
} // namespace

RawHttpServer::RawHttpServer(asio::io_context &context, const std::string &address, std::uint16_t port, Handler handler)
    : acceptor_(context, {asio::ip::make_address(address), port})
    , handler_(std::make_shared<Handler>(std::move(handler)))
{
    accept();
}

auto RawHttpServer::port() const -> std::uint16_t
{
    return acceptor_.local_endpoint().port();
}

auto RawHttpServer::accept() -> void
{
    acceptor_.async_accept([this](const std::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            std::make_shared<Connection>(std::move(socket), handler_, openConnections_)->read();
        }
        accept();
    });
}
} // namespace Marjoramfold
