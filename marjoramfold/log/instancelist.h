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
/// What an instance of the platform does.
enum class InstanceRole {
    Entry,
    Worker,
    Target,
};

/// State of an instance as the platform knows it, with a lag.
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
    /// Rack and shape, for workers.
    RackId rack_;
    Resources capacity_;
    /// HOST:PORT for membership messages, for entry instances; empty when not listed.
    std::string peerAddress_;
};

/// The instance list as of a time in the past.
struct InstanceList {
    WallTime asOf_;
    std::vector<InstanceEntry> instances_;
    /// Entries that were left out because they are malformed.
    std::size_t malformed_ = 0;
};

[[nodiscard]] auto toString(InstanceRole role) -> std::string_view;
[[nodiscard]] auto toString(InstanceState state) -> std::string_view;
[[nodiscard]] auto instanceRoleFromString(std::string_view name) -> std::optional<InstanceRole>;
[[nodiscard]] auto instanceStateFromString(std::string_view name) -> std::optional<InstanceState>;

/// JSON form of an entry, also used to register an instance.
[[nodiscard]] auto encodeInstance(const InstanceEntry &instance) -> std::string;

/// List of an answer's body. One malformed entry does not spoil the others. Error Malformed when the list itself is wrong.
[[nodiscard]] auto decodeInstanceList(std::string_view body) -> Result<InstanceList>;

/// The platform's instance list by HTTP and JSON, see docs/protocols.md.
class InstanceListClient
{
public:
    /// The HTTP client must outlive this one and its pending requests.
    InstanceListClient(HttpClient &http, std::string address, std::chrono::milliseconds timeout = std::chrono::milliseconds(2'000));

    /// Fetches the list, or confirms the one fetched last if the platform says that it has not changed. The callback runs on the client's io_context. Errors: those of HttpClient, and Malformed.
    auto fetch(std::function<void(Result<InstanceList>)> done) -> void;

    /// Registers an instance, or keeps its registration alive.
    auto announce(const InstanceEntry &instance, std::function<void(Result<Success>)> done) -> void;

private:
    auto takeAnswer(const HttpClientResponse &response) -> Result<InstanceList>;

    HttpClient &http_;
    std::string address_;
    std::chrono::milliseconds timeout_;
    /// The list fetched last and its entity tag; empty when the platform sends none.
    InstanceList last_;
    std::string lastTag_;
};
} // namespace Marjoramfold
