#pragma once

#include "marjoramfold/http/httpserver.h"
#include "tcproute.h"
#include "udproute.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Parses "NAME=PROTOCOL:LISTENPORT:HOST:PORT" with PROTOCOL tcp, udp or both; throws std::invalid_argument on anything else.
/// The protocol is returned through the second parameter.
[[nodiscard]] auto parseRoute(const std::string &text, std::string &protocol) -> RouteOptions;

/// Routes with faults that are set over HTTP.
///
/// POST /v1/faults {"route","delay_ms","drop","cut","cut_to_server","cut_to_client","reset"}: absent fields keep their values,
/// cut sets both directions, reset is done once, and route "*" means all. GET /v1/routes lists the routes.
class FaultProxy
{
public:
    FaultProxy(asio::io_context &context, const std::string &listenAddress, std::uint64_t seed);

    /// Adds a route in the form of parseRoute.
    auto addRoute(const std::string &text) -> void;

    /// Handles a request of the control interface.
    auto handle(const HttpServerRequest &request, const HttpResponder &respond) -> void;

private:
    struct Route {
        RouteFaults faults_;
        std::unique_ptr<TcpRoute> tcp_;
        std::unique_ptr<UdpRoute> udp_;
    };

    [[nodiscard]] auto setFaults(const nlohmann::json &body) -> bool;
    static auto applyTo(Route &route, const nlohmann::json &body) -> void;
    [[nodiscard]] auto describe() -> nlohmann::json;

    asio::io_context &context_;
    std::string listenAddress_;
    std::mt19937_64 seeds_;
    std::map<std::string, Route> routes_;
};
} // namespace Marjoramfold
