#pragma once

#include "marjoramfold/log/logcursor.h"
#include "marjoramfold/log/records.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace Marjoramfold
{
/// A typed record with its place in the log.
struct FollowedRecord {
    Offset offset_ = 0;
    WallTime time_;
    Record record_;
};

/// What a follower tells its user, on the io_context.
struct LogFollowerHooks {
    /// Reading begins, or begins again because the reader's offset is no longer kept: derived state must be dropped and rebuilt
    /// from records and snapshots from this offset on.
    std::function<void(Offset first)> onBegin_;
    /// New records in order; malformed ones are left out.
    std::function<void(const std::vector<FollowedRecord> &records)> onRecords_;
    /// A read was answered or failed: position, confirmation or reachability may have changed. Comes after onRecords_.
    std::function<void()> onProgress_;
};

/// Follows one stream of the log from its first record on, with long polls. Destroying it stops it.
class LogFollower
{
public:
    /// The log client must outlive the follower.
    LogFollower(asio::io_context &context, LogClient &log, Clock clock, LogFollowerOptions options, LogFollowerHooks hooks);
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    auto operator=(const LogFollower &) -> LogFollower & = delete;

    /// Starts to read.
    auto start() -> void;

    /// Offset of the next record to read; 0 before the first page.
    [[nodiscard]] auto position() const -> Offset;

    /// Start of the last read that reached the end of the stream.
    [[nodiscard]] auto confirmedAt() const -> std::optional<SteadyTime>;

    /// Since when the log has not answered reads; nothing while it is reachable.
    [[nodiscard]] auto unreachableSince() const -> std::optional<SteadyTime>;

    /// Number of records that were skipped because they are malformed.
    [[nodiscard]] auto malformedRecords() const -> std::uint64_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
