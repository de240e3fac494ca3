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
/// A whole snapshot of an availability zone.
struct ZoneSnapshot {
    AvailabilityZoneId zone_;
    Offset epoch_ = 0;
    /// The snapshot holds the effect of every record below this offset.
    Offset decidedUpTo_ = 0;
    /// When the log took its last part.
    WallTime time_;
    std::vector<JobStatus> jobs_;
    nlohmann::json estimates_;
};

/// Splits a snapshot into records of at most maxJobs jobs. The estimates go with the first. Ids are made from the snapshot's name.
[[nodiscard]] auto splitSnapshot(ZoneSnapshot snapshot, const std::string &name, std::size_t maxJobs) -> std::vector<ZoneSnapshotRecord>;

/// Puts the parts of snapshots together, in any order and with repeats.
class SnapshotAssembler
{
public:
    /// Takes a part; gives the snapshot when it was the last one missing.
    [[nodiscard]] auto add(WallTime time, const ZoneSnapshotRecord &part) -> std::optional<ZoneSnapshot>;

    /// Drops all parts.
    auto clear() -> void;

private:
    struct Pending {
        ZoneSnapshot snapshot_;
        std::set<int> parts_;
        /// Order of arrival, to drop the oldest.
        std::uint64_t sequence_ = 0;
    };
    using Key = std::pair<AvailabilityZoneId, std::string>;

    auto dropOldest() -> void;

    std::map<Key, Pending> pending_;
    std::uint64_t sequence_ = 0;
};
} // namespace Marjoramfold
