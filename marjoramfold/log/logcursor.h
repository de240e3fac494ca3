#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/log/backoff.h"
#include "marjoramfold/log/logclient.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Marjoramfold
{
/// How a stream is followed.
struct LogFollowerOptions {
    LogStream stream_ = LogStream::Control;
    /// How long the log may hold a read back until there is a record. A read of the end is confirmed as of its start, so this bounds the age.
    std::chrono::milliseconds wait_{1'000};
    int maxRecords_ = 1'000;
    BackoffOptions backoff_;
    std::uint64_t seed_ = 0;
};

/// Position of a reader in a stream, without I/O: which read comes next and when, and what its answer means.
class LogCursor
{
public:
    explicit LogCursor(const LogFollowerOptions &options);

    /// The read to send next.
    [[nodiscard]] auto nextRead() const -> LogReadRequest;

    /// When the next read may be sent; never while one is in flight.
    [[nodiscard]] auto nextReadAt() const -> SteadyTime;

    /// Takes a page whose read was sent at startedAt; gives the records that are new. True in lost when the reader's offset is no
    /// longer kept: its derived state must be dropped before the records are applied.
    [[nodiscard]] auto takePage(LogPage page, SteadyTime startedAt, SteadyTime now, bool &lost) -> std::vector<LogRecord>;

    /// Takes an error. True when the reader's offset is no longer kept; the next read begins at the first record kept.
    [[nodiscard]] auto takeError(const Error &error, SteadyTime startedAt, SteadyTime now) -> bool;

    /// Offset of the next record to read; 0 before the first page.
    [[nodiscard]] auto position() const -> Offset;

    /// First offset that the log kept at the last page.
    [[nodiscard]] auto first() const -> Offset;

    /// Start of the last read that reached the end of the stream: everything appended before it has been read.
    [[nodiscard]] auto confirmedAt() const -> std::optional<SteadyTime>;

    /// Start of the first read that failed since the last one that was answered; nothing while the log is reachable.
    [[nodiscard]] auto unreachableSince() const -> std::optional<SteadyTime>;

private:
    LogFollowerOptions options_;
    Backoff backoff_;
    Offset position_ = 0;
    Offset first_ = 0;
    SteadyTime nextReadAt_;
    std::optional<SteadyTime> confirmedAt_;
    std::optional<SteadyTime> unreachableSince_;
};
} // namespace Marjoramfold
