#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// A peer instance listed in the settings.
struct PeerSeed {
    InstanceId id_;
    AvailabilityZoneId zone_;
    /// HOST:PORT of its peer interface for UDP and TCP.
    std::string address_;
};

/// A shared key that authenticates messages between instances.
struct PeerKey {
    std::uint32_t id_ = 0;
    /// Raw bytes; the settings hold them in hexadecimal.
    std::string secret_;
};

/// Optional limits of the settings file, with their defaults.
struct EntryLimits {
    int trafficThreads_ = 2;
    int maxQueuedPerTeam_ = 256;
    int slotsPerTarget_ = 8;
    int connectionsPerTarget_ = 60;
    /// Longest time a drain waits for requests in progress.
    std::chrono::milliseconds drainTimeout_{30'000};
};

/// Validated settings of one entry instance.
struct EntrySettings {
    InstanceId id_;
    AvailabilityZoneId zone_;
    std::string listenAddress_;
    std::uint16_t httpPort_ = 0;
    std::uint16_t peerPort_ = 0;
    /// HOST:PORT of the platform's log and of its instance list.
    std::string logAddress_;
    std::string instanceListAddress_;
    /// How long the log keeps records; snapshots of live state are appended well before that.
    std::chrono::milliseconds logRetention_{std::chrono::hours(24)};
    std::vector<PeerSeed> peers_;
    std::vector<PeerKey> keys_;
    std::uint32_t signingKey_ = 0;
    EntryLimits limits_;
    /// File to which spans are written as lines of OTLP/JSON; if empty, spans stay in memory only.
    std::string spanFile_;
};

/// Reads and validates a settings file. The error message has one line per problem with file, key and reason.
[[nodiscard]] auto loadEntrySettings(const std::string &path) -> Result<EntrySettings>;

/// Parses and validates settings; `path` is used in error messages only.
[[nodiscard]] auto parseEntrySettings(const std::string &text, const std::string &path) -> Result<EntrySettings>;
} // namespace Marjoramfold
