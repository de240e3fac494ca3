#include "marjoramfold/scheduling/snapshotassembler.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Limits the incomplete snapshots left by crashed writers; each availability zone has one writer at a time.
constexpr std::size_t MaxPendingSnapshots = 64;
} // namespace

auto splitSnapshot(ZoneSnapshot snapshot, const std::string &name, std::size_t maxJobs) -> std::vector<ZoneSnapshotRecord>
{
    const auto count = std::max<std::size_t>(1, (snapshot.jobs_.size() + maxJobs - 1) / maxJobs);
    std::vector<ZoneSnapshotRecord> parts;
    for (std::size_t i = 0; i < count; ++i) {
        ZoneSnapshotRecord part;
        part.id_ = RecordId(name + ":" + std::to_string(i));
        part.snapshot_ = name;
        part.part_ = static_cast<int>(i);
        part.parts_ = static_cast<int>(count);
        part.zone_ = snapshot.zone_;
        part.epoch_ = snapshot.epoch_;
        part.decidedUpTo_ = snapshot.decidedUpTo_;
        const auto end = std::min(snapshot.jobs_.size(), (i + 1) * maxJobs);
        for (auto job = i * maxJobs; job < end; ++job) {
            part.jobs_.push_back(std::move(snapshot.jobs_[job]));
        }
        parts.push_back(std::move(part));
    }
    if (snapshot.estimates_.is_object()) {
        parts.front().estimates_ = std::move(snapshot.estimates_);
    }
    return parts;
}

auto SnapshotAssembler::add(WallTime time, const ZoneSnapshotRecord &part) -> std::optional<ZoneSnapshot>
{
    const auto [found, isNew] = pending_.try_emplace({part.zone_, part.snapshot_});
    auto &pending = found->second;
    if (isNew) {
        pending.snapshot_ = {part.zone_, part.epoch_, part.decidedUpTo_, time, {}, nlohmann::json::object()};
        pending.sequence_ = ++sequence_;
    }
    if (!pending.parts_.insert(part.part_).second) {
        return std::nullopt;
    }
    auto &snapshot = pending.snapshot_;
    snapshot.time_ = time;
    snapshot.jobs_.insert(snapshot.jobs_.end(), part.jobs_.begin(), part.jobs_.end());
    if (part.part_ == 0) {
        snapshot.estimates_ = part.estimates_;
    }
    if (pending.parts_.size() == static_cast<std::size_t>(part.parts_)) {
        auto complete = std::move(snapshot);
        pending_.erase(found);
        return complete;
    }
    dropOldest();
    return std::nullopt;
}

auto SnapshotAssembler::clear() -> void
{
    pending_.clear();
}

auto SnapshotAssembler::dropOldest() -> void
{
    if (pending_.size() <= MaxPendingSnapshots) {
        return;
    }
    pending_.erase(std::min_element(pending_.begin(), pending_.end(), [](const auto &left, const auto &right) {
        return left.second.sequence_ < right.second.sequence_;
    }));
}
} // namespace Marjoramfold
