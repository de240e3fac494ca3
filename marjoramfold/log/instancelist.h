#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/job.h"
#include "marjoramfold/http/httpclient.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Role of an instance on the platform.
enum class InstanceRole {
    Entry,
    Worker,
    Target,
};

/// State of an instance as the platform lists it, with a lag.
enum class InstanceState {
    Live,
    Leaving,
};

/// One entry of the instance list.
struct InstanceEntry {
    std::string id_;
    InstanceRole role_ = InstanceRole::Entry;
    AvailabilityZoneId zone_;
    /// HOST:PORT of its interface.
    std::string address_;
    InstanceState state_ = InstanceState::Live;
    /// Rack and capacity, for workers only.
    RackId rack_;
    Resources capacity_;
    /// HOST:PORT for membership messages, for entry instances only; empty when not listed.
    std::string peerAddress_;
};

/// The instance list as of a time in the past.
struct InstanceList {
    WallTime asOf_;
    std::vector<InstanceEntry> instances_;
    /// Number of entries that were skipped because they are malformed.
    std::size_t malformed_ = 0;
};

[[nodiscard]] auto toString(InstanceRole role) -> std::string_view;
[[nodiscard]] auto toString(InstanceState state) -> std::string_view;
[[nodiscard]] auto instanceRoleFromString(std::string_view name) -> std::optional<InstanceRole>;
[[nodiscard]] auto instanceStateFromString(std::string_view name) -> std::optional<InstanceState>;

/// JSON form of an entry, also used to register an instance.
[[nodiscard]] auto encodeInstance(const InstanceEntry &instance) -> std::string;

/// Parses a response body. Malformed entries are skipped and counted. Error Malformed when the list itself is malformed.
[[nodiscard]] auto decodeInstanceList(std::string_view body) -> Result<InstanceList>;

/// Client of the platform's instance list over HTTP and JSON, see docs/protocols.md.
class InstanceListClient
{
public:
    /// The HTTP client must outlive this one and its pending requests.
    InstanceListClient(HttpClient &http, std::string address, std::chrono::milliseconds timeout = std::chrono::milliseconds(2'000));

    /// Fetches the list, or reuses the last one when the platform reports that it is unchanged. The callback runs on the client's
    /// io_context. Errors: those of HttpClient, and Malformed.
    auto fetch(std::function<void(Result<InstanceList>)> done) -> void;

    /// Registers an instance, or renews its registration.
    auto announce(const InstanceEntry &instance, std::function<void(Result<Success>)> done) -> void;

private:
    auto handleResponse(const HttpClientResponse &response) -> Result<InstanceList>;

    HttpClient &http_;
    std::string address_;
    std::chrono::milliseconds timeout_;
    /// The list fetched last and its entity tag; empty when the platform sends none.
    InstanceList lastList_;
    std::string lastTag_;
};
} // namespace Marjoramfold
