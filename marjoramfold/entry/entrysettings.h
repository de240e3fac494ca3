#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Another entry instance that is known from settings.
struct PeerSeed {
    InstanceId id_;
    AvailabilityZoneId zone_;
    /// HOST:PORT of its peer interface, UDP and TCP.
    std::string address_;
};

/// A shared key that authenticates messages between instances.
struct PeerKey {
    std::uint32_t id_ = 0;
    /// Raw bytes; written in hexadecimal in the settings.
    std::string secret_;
};

/// Limits that operators may set.
struct EntryLimits {
    int trafficThreads_ = 2;
    int maxQueuedPerTeam_ = 256;
    int slotsPerTarget_ = 8;
    int connectionsPerTarget_ = 60;
    /// Longest time that a drain waits for requests in progress.
    std::chrono::milliseconds drainTimeout_{30'000};
};

/// Settings of one entry instance, checked.
struct EntrySettings {
    InstanceId id_;
    AvailabilityZoneId zone_;
    std::string listenAddress_;
    std::uint16_t httpPort_ = 0;
    std::uint16_t peerPort_ = 0;
    /// HOST:PORT of the platform's log and of its instance list.
    std::string logAddress_;
    std::string instanceListAddress_;
    /// How long the log keeps records; live state is appended again well before.
    std::chrono::milliseconds logRetention_{std::chrono::hours(24)};
    std::vector<PeerSeed> peers_;
    std::vector<PeerKey> keys_;
    std::uint32_t signingKey_ = 0;
    EntryLimits limits_;
    /// File for spans as OTLP/JSON lines; empty keeps them in memory only.
    std::string spanFile_;
};

/// Reads and checks a settings file. The message of an error names file, key and reason, one problem per line.
[[nodiscard]] auto loadEntrySettings(const std::string &path) -> Result<EntrySettings>;

/// Reads and checks settings from text; `path` only appears in messages.
[[nodiscard]] auto parseEntrySettings(const std::string &text, const std::string &path) -> Result<EntrySettings>;
} // namespace Marjoramfold
