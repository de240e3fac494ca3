#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/log/instancelist.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold::Standin
{
/// The instances of the platform. The listed state is older than the known state by a configurable lag. Callers pass the time.
class InstanceRegistry
{
public:
    /// Sets the age of the listed state.
    auto setLag(std::chrono::milliseconds lag) -> void;

    /// Registers an instance, or renews its registration until the heartbeat timeout.
    auto announce(const InstanceEntry &instance, SteadyTime now) -> void;

    /// Adds an instance that needs no heartbeats.
    auto addStatic(const InstanceEntry &instance, SteadyTime now) -> void;

    auto remove(const std::string &id, SteadyTime now) -> void;

    /// Returns the instances as of one lag ago.
    [[nodiscard]] auto list(SteadyTime now) -> std::vector<InstanceEntry>;

    [[nodiscard]] auto lag() const -> std::chrono::milliseconds;

private:
    /// A change of an instance; no value means that it was removed or timed out.
    struct Change {
        SteadyTime at_;
        std::optional<InstanceEntry> instance_;
    };
    struct Entry {
        std::deque<Change> changes_;
        std::optional<SteadyTime> lastHeartbeat_;
    };

    auto record(Entry &entry, std::optional<InstanceEntry> instance, SteadyTime at) -> void;

    std::chrono::milliseconds lag_{1'000};
    std::map<std::string, Entry> entries_;
};
} // namespace Marjoramfold::Standin
