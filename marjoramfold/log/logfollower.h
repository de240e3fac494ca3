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
/// A decoded record with its offset and time in the log.
struct FollowedRecord {
    Offset offset_ = 0;
    WallTime time_;
    Record record_;
};

/// Callbacks of a follower; they run on the io_context.
struct LogFollowerHooks {
    /// Reading begins, or begins again because the reader's offset is no longer kept: derived state must be dropped and rebuilt
    /// from the records and snapshots from this offset on.
    std::function<void(Offset first)> onBegin_;
    /// New records in order; malformed ones are skipped.
    std::function<void(const std::vector<FollowedRecord> &records)> onRecords_;
    /// A read succeeded or failed: position, confirmation or reachability may have changed. Runs after onRecords_.
    std::function<void()> onProgress_;
};

/// Reads one stream of the log from its first record on, with long polls, until it is destroyed.
class LogFollower
{
public:
    /// The log client must outlive the follower.
    LogFollower(asio::io_context &context, LogClient &log, Clock clock, LogFollowerOptions options, LogFollowerHooks hooks);
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    auto operator=(const LogFollower &) -> LogFollower & = delete;

    /// Starts reading.
    auto start() -> void;

    /// Offset of the next record to read; 0 before the first page.
    [[nodiscard]] auto position() const -> Offset;

    /// Start of the last read that reached the end of the stream.
    [[nodiscard]] auto confirmedAt() const -> std::optional<SteadyTime>;

    /// Start of the first read without a response since the last one with a response; empty while the log is reachable.
    [[nodiscard]] auto unreachableSince() const -> std::optional<SteadyTime>;

    /// Number of malformed records that were skipped.
    [[nodiscard]] auto malformedRecords() const -> std::uint64_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
