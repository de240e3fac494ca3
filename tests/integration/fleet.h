#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/http/httpclient.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// One process of a fleet.
struct FleetProcess {
    std::string name_;
    std::string address_;
    std::string zone_;
};

/// The fleet of real processes that scripts/run-integration.sh started for this test program.
class Fleet
{
public:
    /// Reads the fleet's folder from MARJORAMFOLD_FLEET.
    Fleet();

    [[nodiscard]] auto entries() const -> const std::vector<FleetProcess> &;
    [[nodiscard]] auto workers() const -> const std::vector<FleetProcess> &;
    [[nodiscard]] auto executors() const -> const std::vector<FleetProcess> &;
    [[nodiscard]] auto entry(const std::string &name) const -> const FleetProcess &;

    /// Sends a signal to a process; a process that ends is restarted unless it is kept down.
    auto signal(const std::string &name, int number) const -> void;
    auto keepDown(const std::string &name, bool down) const -> void;
    [[nodiscard]] auto pidOf(const std::string &name) const -> int;

    /// Sets faults of the platform, of a worker or executor, or of the routes of the fault proxy.
    auto setPlatformFaults(const nlohmann::json &faults) const -> void;
    auto setFaults(const FleetProcess &process, const nlohmann::json &faults) const -> void;
    auto setRoute(const std::string &route, const nlohmann::json &faults) const -> void;

    /// Isolates an availability zone's entries from the platform and from the entries of other zones, or reconnects them.
    auto cutZone(const std::string &zone, bool cut) const -> void;

private:
    std::string dir_;
    std::vector<FleetProcess> entries_;
    std::vector<FleetProcess> workers_;
    std::vector<FleetProcess> executors_;
};

/// Answer to a request, with its body parsed as JSON; the body is null without an answer.
struct JsonAnswer {
    int status_ = 0;
    nlohmann::json body_;
    /// Set when no complete answer was received.
    std::optional<Error> error_;
};

[[nodiscard]] auto getJson(const std::string &address, const std::string &path) -> JsonAnswer;
[[nodiscard]] auto postJson(const std::string &address, const std::string &path, const nlohmann::json &body, std::chrono::milliseconds timeout) -> JsonAnswer;

/// Polls until a condition holds; returns false on a timeout. The timeout only bounds a test that is stuck.
[[nodiscard]] auto eventually(std::chrono::seconds atMost, const std::function<bool()> &condition) -> bool;

/// Publishes the demonstration's rules with one zone in a state, based on a given version, and returns the answer.
[[nodiscard]] auto
publishZoneState(const std::string &entryAddress, const std::string &publishId, Offset baseVersion, const std::string &zone, const std::string &state)
    -> JsonAnswer;

/// Publishes the demonstration's rules and waits until every zone is scheduled by an owner.
auto bringUp(const Fleet &fleet) -> void;

/// Submits a job restricted to a zone: a gang of `tasks` tasks with 8 accelerators each and a given run time.
[[nodiscard]] auto submitJob(const std::string &entryAddress, const std::string &id, const std::string &zone, int tasks, std::chrono::milliseconds runTime)
    -> JsonAnswer;

/// State of a job as reported by an entry; empty when the job is unknown.
[[nodiscard]] auto jobState(const std::string &entryAddress, const std::string &id) -> std::string;

/// Name of the instance that owns a zone, according to the log as read by an entry.
[[nodiscard]] auto ownerOf(const std::string &entryAddress, const std::string &zone) -> std::string;

/// Number of members of a job that are running on the workers, by attempt.
[[nodiscard]] auto runningMembers(const Fleet &fleet, const std::string &job) -> std::map<std::string, int>;
} // namespace Marjoramfold
