#include "marjoramfold/http/httpserver.h"

#include <restinio/all.hpp>

#include <utility>

namespace Marjoramfold
{
namespace
{
/// RESTinio without locks, since one thread runs the io_context.
struct ServerTraits : public restinio::default_single_thread_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

using Server = restinio::http_server_t<ServerTraits>;
using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

auto toRequest(const restinio::request_handle_t &handle) -> HttpServerRequest
{
    HttpServerRequest request;
    request.method_ = handle->header().method().c_str();
    request.target_ = handle->header().request_target();
    request.body_ = handle->body();
    handle->header().for_each_field([&request](const auto &field) {
        request.headers_.push_back({field.name(), field.value()});
    });
    return request;
}

auto respond(const restinio::request_handle_t &handle, HttpServerResponse response) -> void
{
    const restinio::http_status_line_t status(restinio::http_status_code_t(static_cast<std::uint16_t>(response.status_)),
                                              response.status_ < 400 ? "OK" : "Error");
    auto message = handle->create_response(status);
    message.append_header(restinio::http_field::content_type, response.contentType_);
    for (const auto &header : response.headers_) {
        message.append_header(header.name_, header.value_);
    }
    if (response.closeConnection_ || !handle->header().should_keep_alive()) {
        message.connection_close();
    }
    message.set_body(std::move(response.body_));
    message.done();
}
} // namespace

/// The RESTinio server and the io_context that it runs on.
class HttpServer::Impl
{
public:
    Impl(asio::io_context &context, const HttpServerOptions &options, HttpHandler handler)
        : handler_(std::move(handler))
        , server_(restinio::external_io_context(context), [&](auto &settings) {
            configure(settings, context, options);
        })
    {
    }

    auto start() -> std::uint16_t
    {
        server_.open_sync();
        return boundPort_;
    }

    auto close() -> void
    {
        if (!closed_) {
            closed_ = true;
            server_.close_sync();
        }
    }

private:
    template<typename Settings>
    auto configure(Settings &settings, asio::io_context &context, const HttpServerOptions &options) -> void
    {
        settings.address(options.address_)
            .port(options.port_)
            .read_next_http_message_timelimit(options.idleTimeout_)
            .write_http_response_timelimit(options.idleTimeout_)
            .handle_request_timeout(options.handlerTimeout_)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t().max_body_size(options.maxBodyBytes_))
            .max_pipelined_requests(1)
            .acceptor_options_setter([reusePort = options.reusePort_](auto &acceptorOptions) {
                acceptorOptions.set_option(asio::ip::tcp::acceptor::reuse_address(true));
                if (reusePort) {
                    acceptorOptions.set_option(ReusePort(true));
                }
            })
            .socket_options_setter([](auto &socketOptions) {
                socketOptions.set_option(asio::ip::tcp::no_delay(true));
            })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
                boundPort_ = acceptor.local_endpoint().port();
            })
            .request_handler([this, &context](restinio::request_handle_t handle) {
                handler_(toRequest(handle), [handle, &context](HttpServerResponse response) {
                    // Connections may only be used on the thread of the io_context; the handler may respond from another one.
                    asio::dispatch(context, [handle, response = std::move(response)]() mutable {
                        respond(handle, std::move(response));
                    });
                });
                return restinio::request_accepted();
            });
    }

    HttpHandler handler_;
    std::uint16_t boundPort_ = 0;
    bool closed_ = false;
    Server server_;
};

HttpServer::HttpServer(asio::io_context &context, HttpServerOptions options, HttpHandler handler)
    : impl_(std::make_unique<Impl>(context, options, std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

auto HttpServer::start() -> std::uint16_t
{
    return impl_->start();
}

auto HttpServer::stopAccepting() -> void
{
    impl_->close();
}

auto HttpServer::close() -> void
{
    impl_->close();
}
} // namespace Marjoramfold
