#include "marjoramfold/log/instancelist.h"

#include "marjoramfold/log/jsonfields.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace Marjoramfold
{
namespace
{
using Json = nlohmann::json;

constexpr std::array RoleNames{
    std::pair<InstanceRole, std::string_view>{InstanceRole::Entry, "entry"},
    std::pair<InstanceRole, std::string_view>{InstanceRole::Worker, "worker"},
    std::pair<InstanceRole, std::string_view>{InstanceRole::Target, "target"},
};

auto unexpectedStatus(const HttpClientResponse &response) -> Error
{
    return {response.status_ == 503 ? ErrorKind::LogUnavailable : ErrorKind::TransportFailed,
            "the platform responded with status " + std::to_string(response.status_) + " to a request for the instance list",
            std::nullopt};
}

auto readInstance(const Json &item) -> Result<InstanceEntry>
{
    constexpr std::int64_t MaxResource = 1'000'000'000;
    JsonFields fields(item);
    InstanceEntry instance;
    instance.id_ = fields.text("id");
    instance.role_ = fields.named<InstanceRole>("role", &instanceRoleFromString);
    instance.zone_ = fields.id<AvailabilityZoneId>("availability_zone");
    instance.address_ = fields.text("address");
    instance.state_ = fields.named<InstanceState>("state", &instanceStateFromString);
    if (instance.role_ == InstanceRole::Worker) {
        instance.rack_ = RackId(fields.text("rack"));
        instance.capacity_.accelerators_ = static_cast<int>(fields.integer("accelerators", 0, MaxResource));
        instance.capacity_.cores_ = static_cast<int>(fields.integer("cores", 0, MaxResource));
        instance.capacity_.memoryMb_ = fields.integer("memory_mb", 0, MaxResource);
    }
    if (fields.has("peer_address")) {
        instance.peerAddress_ = fields.text("peer_address");
    }
    if (fields.error()) {
        return *fields.error();
    }
    if (instance.id_.empty() || instance.address_.empty()) {
        return Error{ErrorKind::Malformed, "an instance has no id or no address", std::nullopt};
    }
    return instance;
}
} // namespace

auto toString(InstanceRole role) -> std::string_view
{
    return RoleNames[static_cast<std::size_t>(role)].second;
}

auto toString(InstanceState state) -> std::string_view
{
    return state == InstanceState::Live ? "live" : "leaving";
}

auto instanceRoleFromString(std::string_view name) -> std::optional<InstanceRole>
{
    for (const auto &[role, roleName] : RoleNames) {
        if (roleName == name) {
            return role;
        }
    }
    return std::nullopt;
}

auto instanceStateFromString(std::string_view name) -> std::optional<InstanceState>
{
    if (name == "live") {
        return InstanceState::Live;
    }
    return name == "leaving" ? std::optional(InstanceState::Leaving) : std::nullopt;
}

auto encodeInstance(const InstanceEntry &instance) -> std::string
{
    Json json{{"id", instance.id_},
              {"role", toString(instance.role_)},
              {"availability_zone", instance.zone_.value()},
              {"address", instance.address_},
              {"state", toString(instance.state_)}};
    if (instance.role_ == InstanceRole::Worker) {
        json["rack"] = instance.rack_.value();
        json["accelerators"] = instance.capacity_.accelerators_;
        json["cores"] = instance.capacity_.cores_;
        json["memory_mb"] = instance.capacity_.memoryMb_;
    }
    if (!instance.peerAddress_.empty()) {
        json["peer_address"] = instance.peerAddress_;
    }
    return json.dump();
}

auto decodeInstanceList(std::string_view body) -> Result<InstanceList>
{
    const auto json = Json::parse(body, nullptr, false);
    JsonFields fields(json);
    InstanceList list{fromUnixMilliseconds(fields.milliseconds("as_of_ms")), {}, 0};
    for (const auto &item : fields.array("instances")) {
        auto instance = readInstance(item);
        if (isOk(instance)) {
            list.instances_.push_back(std::get<InstanceEntry>(std::move(instance)));
        } else {
            ++list.malformed_;
        }
    }
    if (fields.error()) {
        return *fields.error();
    }
    return list;
}

InstanceListClient::InstanceListClient(HttpClient &http, std::string address, std::chrono::milliseconds timeout)
    : http_(http)
    , address_(std::move(address))
    , timeout_(timeout)
{
}

auto InstanceListClient::fetch(std::function<void(Result<InstanceList>)> done) -> void
{
    HttpClientRequest request{"GET", address_, "/v1/instances", {}, "", timeout_};
    // The list of a large fleet has hundreds of kilobytes and rarely changes, so it is requested only if changed.
    if (!lastTag_.empty()) {
        request.headers_.push_back({"If-None-Match", lastTag_});
    }
    http_.send(std::move(request), [this, done = std::move(done)](const Result<HttpClientResponse> &result) {
        done(isOk(result) ? handleResponse(valueOf(result)) : Result<InstanceList>(errorOf(result)));
    });
}

auto InstanceListClient::handleResponse(const HttpClientResponse &response) -> Result<InstanceList>
{
    constexpr int StatusOk = 200;
    constexpr int StatusNotModified = 304;
    if (response.status_ == StatusNotModified && !lastTag_.empty()) {
        const auto asOf = findHeader(response.headers_, "X-As-Of-Ms").value_or("");
        lastList_.asOf_ = std::max(lastList_.asOf_, fromUnixMilliseconds(std::chrono::milliseconds(std::strtoll(asOf.c_str(), nullptr, 10))));
        return lastList_;
    }
    if (response.status_ != StatusOk) {
        return unexpectedStatus(response);
    }
    auto list = decodeInstanceList(response.body_);
    if (isOk(list)) {
        lastList_ = valueOf(list);
        lastTag_ = findHeader(response.headers_, "ETag").value_or("");
    }
    return list;
}

auto InstanceListClient::announce(const InstanceEntry &instance, std::function<void(Result<Success>)> done) -> void
{
    HttpClientRequest request{"PUT", address_, "/v1/instances/" + instance.id_, {{"Content-Type", "application/json"}}, encodeInstance(instance), timeout_};
    http_.send(std::move(request), [done = std::move(done)](const Result<HttpClientResponse> &result) {
        if (!isOk(result)) {
            done(errorOf(result));
        } else if (valueOf(result).status_ != 200) {
            done(unexpectedStatus(valueOf(result)));
        } else {
            done(Success{});
        }
    });
}
} // namespace Marjoramfold
