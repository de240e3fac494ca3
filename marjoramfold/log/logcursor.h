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
/// Options for following a stream.
struct LogFollowerOptions {
    LogStream stream_ = LogStream::Control;
    /// Long-poll time of a read at the end of the stream. Such a read confirms the end as of its start, so this bounds the age of the confirmation.
    std::chrono::milliseconds wait_{1'000};
    int maxRecords_ = 1'000;
    BackoffOptions backoff_;
    std::uint64_t seed_ = 0;
};

/// Position of a reader in a stream, without I/O. Determines the next read and its time, and evaluates the result of a read.
class LogCursor
{
public:
    explicit LogCursor(const LogFollowerOptions &options);

    /// The read to send next.
    [[nodiscard]] auto nextRead() const -> LogReadRequest;

    /// When the next read may be sent. Only one read may be in flight.
    [[nodiscard]] auto nextReadAt() const -> SteadyTime;

    /// Handles a page whose read was sent at startedAt; returns the new records. Sets offsetExpired when the reader's offset is no
    /// longer kept: its derived state must then be dropped before the records are applied.
    [[nodiscard]] auto handlePage(LogPage page, SteadyTime startedAt, SteadyTime now, bool &offsetExpired) -> std::vector<LogRecord>;

    /// Handles a failed read. True when the reader's offset is no longer kept; the next read then begins at the first record kept.
    [[nodiscard]] auto handleError(const Error &error, SteadyTime startedAt, SteadyTime now) -> bool;

    /// Offset of the next record to read; 0 before the first page.
    [[nodiscard]] auto position() const -> Offset;

    /// First offset that the log kept, as of the last page.
    [[nodiscard]] auto first() const -> Offset;

    /// Start of the last read that reached the end of the stream: everything appended before it has been read.
    [[nodiscard]] auto confirmedAt() const -> std::optional<SteadyTime>;

    /// Start of the first read without a response since the last one with a response; empty while the log is reachable.
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
