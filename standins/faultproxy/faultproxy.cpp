#include "faultproxy.h"

#include <charconv>
#include <sstream>
#include <stdexcept>

namespace Marjoramfold
{
namespace
{
auto parsePort(const std::string &text, const std::string &route) -> std::uint16_t
{
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        throw std::invalid_argument("route '" + route + "' has the invalid port '" + text + "'");
    }
    return port;
}
} // namespace

auto parseRoute(const std::string &text, std::string &protocol) -> RouteOptions
{
    const auto equals = text.find('=');
    std::vector<std::string> fields;
    std::istringstream rest(equals == std::string::npos ? "" : text.substr(equals + 1));
    for (std::string field; std::getline(rest, field, ':');) {
        fields.push_back(field);
    }
    constexpr std::size_t FieldCount = 4;
    if (equals == std::string::npos || equals == 0 || fields.size() != FieldCount) {
        throw std::invalid_argument("route '" + text + "' is not NAME=PROTOCOL:LISTENPORT:HOST:PORT");
    }
    protocol = fields[0];
    if (protocol != "tcp" && protocol != "udp" && protocol != "both") {
        throw std::invalid_argument("route '" + text + "' has the unknown protocol '" + protocol + "'");
    }
    RouteOptions options;
    options.name_ = text.substr(0, equals);
    options.listenPort_ = parsePort(fields[1], text);
    options.serverAddress_ = fields[2];
    options.serverPort_ = parsePort(fields[3], text);
    return options;
}

FaultProxy::FaultProxy(asio::io_context &context, const std::string &listenAddress, std::uint64_t seed)
    : context_(context)
    , listenAddress_(listenAddress)
    , seeds_(seed)
{
}

auto FaultProxy::addRoute(const std::string &text) -> void
{
    std::string protocol;
    auto options = parseRoute(text, protocol);
    options.listenAddress_ = listenAddress_;
    auto &route = routes_[options.name_];
    if (protocol != "udp") {
        route.tcp_ = std::make_unique<TcpRoute>(context_, options, seeds_());
        // A free port that was chosen for TCP is used for UDP as well.
        options.listenPort_ = route.tcp_->port();
    }
    if (protocol != "tcp") {
        route.udp_ = std::make_unique<UdpRoute>(context_, options, seeds_());
    }
}

auto FaultProxy::handle(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    constexpr int BadRequest = 400;
    constexpr int NotFound = 404;
    HttpServerResponse response;
    const auto path = pathOf(request.target_);
    if (path == "/v1/routes" && request.method_ == "GET") {
        response.body_ = describe().dump();
    } else if (path == "/v1/faults" && request.method_ == "POST") {
        const auto body = nlohmann::json::parse(request.body_, nullptr, false);
        auto accepted = false;
        try {
            accepted = body.is_object() && setFaults(body);
        } catch (const nlohmann::json::exception &) {
            // A field of the wrong type.
            accepted = false;
        }
        response.status_ = accepted ? response.status_ : BadRequest;
        response.body_ = accepted ? "{}" : R"({"error":"unknown route, or a field has a wrong type"})";
    } else {
        response.status_ = NotFound;
        response.body_ = "{}";
    }
    respond(std::move(response));
}

auto FaultProxy::setFaults(const nlohmann::json &body) -> bool
{
    const auto name = body.value("route", std::string("*"));
    auto found = false;
    for (auto &[routeName, route] : routes_) {
        if (name == "*" || name == routeName) {
            applyTo(route, body);
            found = true;
        }
    }
    return found;
}

auto FaultProxy::applyTo(Route &route, const nlohmann::json &body) -> void
{
    auto &faults = route.faults_;
    faults.delay_ = std::chrono::milliseconds(body.value("delay_ms", faults.delay_.count()));
    faults.drop_ = body.value("drop", faults.drop_);
    if (body.contains("cut")) {
        faults.cutToServer_ = body["cut"].get<bool>();
        faults.cutToClient_ = faults.cutToServer_;
    }
    faults.cutToServer_ = body.value("cut_to_server", faults.cutToServer_);
    faults.cutToClient_ = body.value("cut_to_client", faults.cutToClient_);
    if (route.tcp_) {
        route.tcp_->setFaults(faults);
        if (body.value("reset", false)) {
            route.tcp_->resetAll();
        }
    }
    if (route.udp_) {
        route.udp_->setFaults(faults);
    }
}

auto FaultProxy::describe() -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (auto &[name, route] : routes_) {
        list.push_back({{"route", name},
                        {"tcp_port", route.tcp_ ? route.tcp_->port() : 0},
                        {"udp_port", route.udp_ ? route.udp_->port() : 0},
                        {"open_connections", route.tcp_ ? route.tcp_->openConnections() : 0},
                        {"udp_clients", route.udp_ ? route.udp_->clients() : 0},
                        {"delay_ms", route.faults_.delay_.count()},
                        {"drop", route.faults_.drop_},
                        {"cut_to_server", route.faults_.cutToServer_},
                        {"cut_to_client", route.faults_.cutToClient_}});
    }
    return {{"routes", list}};
}
} // namespace Marjoramfold
