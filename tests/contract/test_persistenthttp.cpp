#include "marjoramfold/http/persistenthttpclient.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Marjoramfold;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace
{
const std::string Ok = "HTTP/1.1 200 OK\r\nX-Test: a\r\nContent-Length: 4\r\n\r\ndone";

/// A server that answers each request without a body with a given text; it holds the connection open without an answer if it is empty.
class TextServer
{
public:
    explicit TextServer(asio::io_context &context)
        : acceptor_(context, {tcp::v4(), 0})
    {
        accept();
    }

    [[nodiscard]] auto address(int host = 1) const -> std::string
    {
        return "127.0.0." + std::to_string(host) + ":" + std::to_string(acceptor_.local_endpoint().port());
    }

    auto closeConnections() -> void
    {
        for (const auto &connection : connections_) {
            connection->close();
        }
        connections_.clear();
    }

    std::string answer_ = Ok;
    /// Ends the connection after an answer.
    bool closes_ = false;
    int accepted_ = 0;
    std::vector<std::string> requests_;

private:
    auto accept() -> void
    {
        const auto socket = std::make_shared<tcp::socket>(acceptor_.get_executor());
        acceptor_.async_accept(*socket, [this, socket](const std::error_code &error) {
            if (error) {
                return;
            }
            ++accepted_;
            connections_.push_back(socket);
            read(socket, std::make_shared<std::string>());
            accept();
        });
    }

    auto read(const std::shared_ptr<tcp::socket> &socket, const std::shared_ptr<std::string> &input) -> void
    {
        asio::async_read_until(*socket, asio::dynamic_buffer(*input), "\r\n\r\n", [this, socket, input](const std::error_code &error, std::size_t size) {
            if (error) {
                return;
            }
            requests_.push_back(input->substr(0, size));
            input->erase(0, size);
            std::error_code ignored;
            asio::write(*socket, asio::buffer(answer_), ignored);
            if (closes_) {
                socket->close();
                return;
            }
            read(socket, input);
        });
    }

    tcp::acceptor acceptor_;
    std::vector<std::shared_ptr<tcp::socket>> connections_;
};

/// A client and a server on one thread.
struct Exchanges {
    /// Sends a request and runs until its result, or for a second.
    auto get(const std::string &address, std::chrono::milliseconds timeout = 500ms, bool fresh = false) -> Result<HttpClientResponse>
    {
        std::optional<Result<HttpClientResponse>> result;
        HttpClientRequest request{"GET", address, "/a", {{"X-Test", "b"}}, "", timeout};
        request.freshConnection_ = fresh;
        client_.send(std::move(request), [&result](Result<HttpClientResponse> response) {
            result = std::move(response);
        });
        for (const auto end = std::chrono::steady_clock::now() + 1s; !result && std::chrono::steady_clock::now() < end;) {
            context_.restart();
            context_.run_one_for(100ms);
        }
        REQUIRE(result);
        return *result;
    }

    /// Handles pending events of sockets.
    auto settle() -> void
    {
        context_.restart();
        context_.run_for(20ms);
    }

    asio::io_context context_;
    TextServer server_{context_};
    HttpClientOptions options_{60, 2};
    PersistentHttpClient client_{context_, options_};
};

auto kindOf(const Result<HttpClientResponse> &result) -> ErrorKind
{
    REQUIRE_FALSE(isOk(result));
    return errorOf(result).kind_;
}
} // namespace

SCENARIO("a persistent client sends requests on kept connections", "[http]")
{
    Exchanges exchanges;
    auto &server = exchanges.server_;
    const auto address = server.address();

    SECTION("and returns status, headers and body")
    {
        const auto result = exchanges.get(address);
        REQUIRE(isOk(result));
        CHECK(valueOf(result).status_ == 200);
        CHECK(valueOf(result).body_ == "done");
        CHECK(findHeader(valueOf(result).headers_, "x-test") == "a");
        CHECK(server.requests_.front() == "GET /a HTTP/1.1\r\nHost: " + address + "\r\nX-Test: b\r\n\r\n");
    }

    SECTION("one after the other on the same connection")
    {
        for (int i = 0; i < 5; ++i) {
            CHECK(isOk(exchanges.get(address)));
        }
        CHECK(server.accepted_ == 1);
    }

    SECTION("on another one after the server has closed it")
    {
        CHECK(isOk(exchanges.get(address)));
        server.closeConnections();
        exchanges.settle();
        CHECK(exchanges.client_.idleConnections() == 0);
        CHECK(isOk(exchanges.get(address)));
        CHECK(server.accepted_ == 2);
    }

    SECTION("on a new one, while the old ones are closed, when the caller asks for it")
    {
        CHECK(isOk(exchanges.get(address)));
        CHECK(isOk(exchanges.get(address, 500ms, true)));
        CHECK(server.accepted_ == 2);
        CHECK(exchanges.client_.idleConnections() == 1);
    }

    SECTION("of which it keeps a limited number")
    {
        for (int host = 1; host <= 5; ++host) {
            CHECK(isOk(exchanges.get(server.address(host))));
        }
        CHECK(exchanges.client_.idleConnections() == 2);
    }

    SECTION("fewer while others are in use")
    {
        // Guards against a process that runs out of descriptors because it keeps idle connections beside many waiting requests.
        server.answer_.clear();
        for (int host = 2; host <= 3; ++host) {
            exchanges.client_.send({"GET", server.address(host), "/", {}, "", 5s}, [](const Result<HttpClientResponse> & /*result*/) {});
        }
        exchanges.settle();
        REQUIRE(exchanges.client_.inFlight() == 2);
        server.answer_ = Ok;
        CHECK(isOk(exchanges.get(address)));
        CHECK(exchanges.client_.idleConnections() == 0);
    }

    SECTION("and reads a body that ends with the connection")
    {
        server.answer_ = "HTTP/1.1 200 OK\r\n\r\nrest";
        server.closes_ = true;
        const auto result = exchanges.get(address);
        REQUIRE(isOk(result));
        CHECK(valueOf(result).body_ == "rest");
        CHECK(exchanges.client_.idleConnections() == 0);
    }

    SECTION("and skips an interim response")
    {
        server.answer_ = "HTTP/1.1 100 Continue\r\n\r\n" + Ok;
        const auto result = exchanges.get(address);
        REQUIRE(isOk(result));
        CHECK(valueOf(result).status_ == 200);
    }
}

SCENARIO("a persistent client tells what may have reached the server", "[http]")
{
    Exchanges exchanges;
    auto &server = exchanges.server_;
    const auto address = server.address();

    SECTION("nothing, when the connection is refused or the address is none")
    {
        tcp::acceptor unused(exchanges.context_, {asio::ip::make_address("127.0.0.1"), 0}, false);
        const auto refusing = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
        unused.close();
        CHECK(kindOf(exchanges.get(refusing)) == ErrorKind::ConnectFailed);
        CHECK(kindOf(exchanges.get("nowhere")) == ErrorKind::ConnectFailed);
        CHECK(kindOf(exchanges.get("127.0.0.1:port")) == ErrorKind::ConnectFailed);
    }

    SECTION("nothing, when the timeout has passed before the request could be sent")
    {
        // Guards against commands that a process sends after it was suspended, when it may no longer give them.
        CHECK(isOk(exchanges.get(address)));
        BootTime::duration suspended{0};
        BootClock::useSource([&suspended] {
            return BootTime(std::chrono::duration_cast<BootTime::duration>(std::chrono::steady_clock::now().time_since_epoch()) + suspended);
        });
        std::optional<Result<HttpClientResponse>> result;
        exchanges.client_.send({"GET", server.address(2), "/", {}, "", 500ms}, [&result](Result<HttpClientResponse> response) {
            result = std::move(response);
        });
        suspended = 2s;
        exchanges.settle();
        BootClock::useSource({});
        REQUIRE(result);
        CHECK(kindOf(*result) == ErrorKind::ConnectFailed);
        CHECK(server.requests_.size() == 1);
    }

    SECTION("the request, when no answer comes in time, and kept connections to the server are given up")
    {
        CHECK(isOk(exchanges.get(address)));
        server.answer_.clear();
        CHECK(kindOf(exchanges.get(address, 50ms)) == ErrorKind::Timeout);
        CHECK(exchanges.client_.idleConnections() == 0);
        server.answer_ = Ok;
        CHECK(isOk(exchanges.get(address)));
        CHECK(server.accepted_ == 2);
    }

    SECTION("the request, when the connection ends without a complete answer")
    {
        server.answer_ = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone";
        server.closes_ = true;
        CHECK(kindOf(exchanges.get(address)) == ErrorKind::TransportFailed);
    }

    SECTION("the request, when the answer is malformed or followed by another one")
    {
        server.answer_ = GENERATE(as<std::string>(), "no HTTP\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", Ok + Ok);
        CHECK(kindOf(exchanges.get(address)) == ErrorKind::TransportFailed);
        CHECK(exchanges.client_.idleConnections() == 0);
    }
}

SCENARIO("a persistent client bounds the connections to a server", "[http]")
{
    asio::io_context context;
    TextServer server(context);
    HttpClientOptions options;
    options.maxConnectionsPerHost_ = 2;
    PersistentHttpClient client(context, options);
    int succeeded = 0;
    int notSent = 0;
    const auto send = [&](int requests, std::chrono::milliseconds timeout) {
        for (int i = 0; i < requests; ++i) {
            client.send({"GET", server.address(), "/", {}, "", timeout}, [&](const Result<HttpClientResponse> &result) {
                succeeded += isOk(result) ? 1 : 0;
                notSent += !isOk(result) && errorOf(result).kind_ == ErrorKind::ConnectFailed ? 1 : 0;
            });
        }
    };

    SECTION("further requests wait for one that becomes free")
    {
        send(10, 900ms);
        context.run_for(500ms);
        CHECK(succeeded == 10);
        CHECK(server.accepted_ == 2);
        CHECK(client.inFlight() == 0);
    }

    SECTION("and are not sent after their timeout")
    {
        server.answer_.clear();
        send(10, 100ms);
        context.run_for(500ms);
        CHECK(succeeded == 0);
        CHECK(server.requests_.size() == 2);
        CHECK(notSent == 8);
    }
}
