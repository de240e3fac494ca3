#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/log/records.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// A complete snapshot of an availability zone.
struct ZoneSnapshot {
    AvailabilityZoneId zone_;
    Offset epoch_ = 0;
    /// The snapshot includes every record below this offset.
    Offset decidedUpTo_ = 0;
    /// Log time of its last part.
    WallTime time_;
    std::vector<JobStatus> jobs_;
    nlohmann::json estimates_;
};

/// Splits a snapshot into records of at most maxJobs jobs; the first contains the estimates. Record ids derive from the name.
[[nodiscard]] auto splitSnapshot(ZoneSnapshot snapshot, const std::string &name, std::size_t maxJobs) -> std::vector<ZoneSnapshotRecord>;

/// Assembles snapshots from parts that arrive in any order and possibly repeated.
class SnapshotAssembler
{
public:
    /// Adds a part; returns the snapshot when it is complete.
    [[nodiscard]] auto add(WallTime time, const ZoneSnapshotRecord &part) -> std::optional<ZoneSnapshot>;

    auto clear() -> void;

private:
    struct Pending {
        ZoneSnapshot snapshot_;
        std::set<int> parts_;
        /// Arrival order; the oldest is dropped first.
        std::uint64_t sequence_ = 0;
    };
    using Key = std::pair<AvailabilityZoneId, std::string>;

    auto dropOldest() -> void;

    std::map<Key, Pending> pending_;
    std::uint64_t sequence_ = 0;
};
} // namespace Marjoramfold
