#include "standins/faultproxy/faultproxy.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <future>
#include <thread>

using namespace Marjoramfold;

namespace
{
/// Runs a proxy in its own thread in front of a TCP and a UDP server of the test.
class ProxyFixture
{
public:
    ProxyFixture()
        : tcpServer_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , udpServer_(context_, {asio::ip::make_address("127.0.0.1"), 0})
        , proxy_(proxyContext_, "127.0.0.1", 1)
    {
        proxy_.addRoute("t=tcp:0:127.0.0.1:" + std::to_string(tcpServer_.local_endpoint().port()));
        proxy_.addRoute("u=udp:0:127.0.0.1:" + std::to_string(udpServer_.local_endpoint().port()));
        const auto routes = describe();
        tcpPort_ = routes[0].at("tcp_port").get<std::uint16_t>();
        udpPort_ = routes[1].at("udp_port").get<std::uint16_t>();
        thread_ = std::thread([this] {
            const auto guard = asio::make_work_guard(proxyContext_);
            proxyContext_.run();
        });
    }

    ~ProxyFixture()
    {
        proxyContext_.stop();
        thread_.join();
    }

    ProxyFixture(const ProxyFixture &) = delete;
    auto operator=(const ProxyFixture &) -> ProxyFixture & = delete;

    /// Sets faults on the proxy's thread and waits until they apply.
    auto setFaults(const std::string &json) -> int
    {
        std::promise<int> status;
        asio::post(proxyContext_, [&] {
            proxy_.handle({"POST", "/v1/faults", {}, json}, [&status](const HttpServerResponse &response) {
                status.set_value(response.status_);
            });
        });
        return status.get_future().get();
    }

    auto describe() -> nlohmann::json
    {
        nlohmann::json body;
        proxy_.handle({"GET", "/v1/routes", {}, ""}, [&body](const HttpServerResponse &response) {
            body = nlohmann::json::parse(response.body_);
        });
        return body.at("routes");
    }

    auto connect() -> std::pair<asio::ip::tcp::socket, asio::ip::tcp::socket>
    {
        asio::ip::tcp::socket client(context_);
        client.connect({asio::ip::make_address("127.0.0.1"), tcpPort_});
        return {std::move(client), tcpServer_.accept()};
    }

    /// Returns the error of the first receive that does not block, or would_block on a timeout. The system reports a reset only once.
    template<typename Socket>
    static auto errorWithin(Socket &socket, std::chrono::milliseconds time) -> std::error_code
    {
        const auto end = std::chrono::steady_clock::now() + time;
        std::array<char, 1> byte{};
        socket.non_blocking(true);
        while (std::chrono::steady_clock::now() < end) {
            std::error_code error;
            socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
            if (error != asio::error::would_block) {
                return error;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return asio::error::would_block;
    }

    /// Returns true when data or the end of the connection arrives within the time.
    template<typename Socket>
    static auto isReadable(Socket &socket, std::chrono::milliseconds time) -> bool
    {
        return errorWithin(socket, time) != asio::error::would_block;
    }

    static constexpr std::chrono::milliseconds ArrivalTimeout{2'000};
    static constexpr std::chrono::milliseconds NoArrivalPeriod{150};

    asio::io_context context_;
    asio::io_context proxyContext_;
    asio::ip::tcp::acceptor tcpServer_;
    asio::ip::udp::socket udpServer_;
    FaultProxy proxy_;
    std::uint16_t tcpPort_ = 0;
    std::uint16_t udpPort_ = 0;
    std::thread thread_;
};

auto send(asio::ip::tcp::socket &socket) -> void
{
    asio::write(socket, asio::buffer("x", 1));
}
} // namespace

SCENARIO("the fault proxy forwards connections with the faults that are set", "[faultproxy]")
{
    ProxyFixture fixture;
    auto [client, server] = fixture.connect();

    SECTION("both directions pass without a fault")
    {
        send(client);
        CHECK(ProxyFixture::isReadable(server, ProxyFixture::ArrivalTimeout));
        send(server);
        CHECK(ProxyFixture::isReadable(client, ProxyFixture::ArrivalTimeout));
    }

    SECTION("a cut towards the server blocks only that direction, and its bytes are delivered when the cut ends")
    {
        CHECK(fixture.setFaults(R"({"route":"t","cut_to_server":true})") == 200);
        send(client);
        send(server);
        CHECK(ProxyFixture::isReadable(client, ProxyFixture::ArrivalTimeout));
        CHECK_FALSE(ProxyFixture::isReadable(server, ProxyFixture::NoArrivalPeriod));
        CHECK(fixture.setFaults(R"({"route":"t","cut":false})") == 200);
        CHECK(ProxyFixture::isReadable(server, ProxyFixture::ArrivalTimeout));
    }

    SECTION("a delay postpones the delivery of bytes")
    {
        CHECK(fixture.setFaults(R"({"delay_ms":300})") == 200);
        send(client);
        CHECK_FALSE(ProxyFixture::isReadable(server, ProxyFixture::NoArrivalPeriod));
        CHECK(ProxyFixture::isReadable(server, ProxyFixture::ArrivalTimeout));
    }

    SECTION("a reset ends both sides with an error")
    {
        send(client);
        REQUIRE(ProxyFixture::isReadable(server, ProxyFixture::ArrivalTimeout));
        CHECK(fixture.setFaults(R"({"reset":true})") == 200);
        CHECK(ProxyFixture::errorWithin(client, ProxyFixture::ArrivalTimeout) == asio::error::connection_reset);
    }

    SECTION("an unknown route or a field of a wrong type is rejected")
    {
        CHECK(fixture.setFaults(R"({"route":"nowhere","cut":true})") == 400);
        CHECK(fixture.setFaults(R"({"cut":"yes"})") == 400);
        CHECK(fixture.setFaults("no json") == 400);
    }
}

SCENARIO("the fault proxy forwards datagrams with the faults that are set", "[faultproxy]")
{
    ProxyFixture fixture;
    asio::ip::udp::socket client(fixture.context_, {asio::ip::make_address("127.0.0.1"), 0});
    const asio::ip::udp::endpoint proxy(asio::ip::make_address("127.0.0.1"), fixture.udpPort_);
    const auto sendOne = [&] {
        client.send_to(asio::buffer("x", 1), proxy);
    };

    SECTION("both directions pass without a fault")
    {
        sendOne();
        REQUIRE(ProxyFixture::isReadable(fixture.udpServer_, ProxyFixture::ArrivalTimeout));
        std::array<char, 16> buffer{};
        asio::ip::udp::endpoint from;
        fixture.udpServer_.receive_from(asio::buffer(buffer), from);
        fixture.udpServer_.send_to(asio::buffer("y", 1), from);
        CHECK(ProxyFixture::isReadable(client, ProxyFixture::ArrivalTimeout));
    }

    SECTION("a cut or a loss probability of 1 drops datagrams permanently")
    {
        CHECK(fixture.setFaults(R"({"route":"u","cut":true})") == 200);
        sendOne();
        CHECK_FALSE(ProxyFixture::isReadable(fixture.udpServer_, ProxyFixture::NoArrivalPeriod));
        CHECK(fixture.setFaults(R"({"route":"u","cut":false,"drop":1.0})") == 200);
        sendOne();
        CHECK_FALSE(ProxyFixture::isReadable(fixture.udpServer_, ProxyFixture::NoArrivalPeriod));
        CHECK(fixture.setFaults(R"({"route":"u","drop":0.0})") == 200);
        CHECK_FALSE(ProxyFixture::isReadable(fixture.udpServer_, ProxyFixture::NoArrivalPeriod));
        sendOne();
        CHECK(ProxyFixture::isReadable(fixture.udpServer_, ProxyFixture::ArrivalTimeout));
    }
}

SCENARIO("a malformed route is rejected", "[faultproxy]")
{
    std::string protocol;
    for (const auto *text : {"", "a", "a=tcp:1:h", "=tcp:1:h:2", "a=sctp:1:h:2", "a=tcp:x:h:2", "a=tcp:1:h:70000"}) {
        CHECK_THROWS_AS(parseRoute(text, protocol), std::invalid_argument);
    }
    const auto route = parseRoute("a=both:1:127.0.0.1:2", protocol);
    CHECK(protocol == "both");
    CHECK(route.serverPort_ == 2);
}
