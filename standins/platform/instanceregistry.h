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
/// The instances of the platform. What it lists is older than what it knows by a configurable lag. Time is passed in.
class InstanceRegistry
{
public:
    /// Sets how old the list is.
    auto setLag(std::chrono::milliseconds lag) -> void;

    /// Registers an instance or keeps it registered for the heartbeat time.
    auto announce(const InstanceEntry &instance, SteadyTime now) -> void;

    /// Adds an instance that needs no heartbeats.
    auto addStatic(const InstanceEntry &instance, SteadyTime now) -> void;

    /// Removes an instance.
    auto remove(const std::string &id, SteadyTime now) -> void;

    /// The instances as they were one lag ago.
    [[nodiscard]] auto list(SteadyTime now) -> std::vector<InstanceEntry>;

    /// The lag in use.
    [[nodiscard]] auto lag() const -> std::chrono::milliseconds;

private:
    /// A change of an instance; without a value it vanished.
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
