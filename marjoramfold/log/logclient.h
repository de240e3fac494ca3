#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Streams of the system in the platform's log.
enum class LogStream {
    Config,
    Control,
    Intents,
};

/// Name of a stream in the platform's log.
[[nodiscard]] auto toString(LogStream stream) -> std::string;

/// A record as stored in the log.
struct LogRecord {
    Offset offset_ = 0;
    /// When the record was appended, by the log's clock.
    WallTime time_;
    nlohmann::json body_;
};

/// Which records to read.
struct LogReadRequest {
    LogStream stream_ = LogStream::Control;
    Offset from_ = 0;
    int maxRecords_ = 1'000;
    /// How long the log may wait for a first record before it responds.
    std::chrono::milliseconds wait_{0};
};

/// Records of one read, and the bounds of the stream at that time.
struct LogPage {
    /// First offset that is still kept.
    Offset first_ = 0;
    /// Offset of the next append.
    Offset end_ = 0;
    std::vector<LogRecord> records_;
};

/// Client of the platform's log. Each callback runs once, on the client's io_context.
///
/// Errors: LogUnavailable when the log refused or was not reached, so that nothing was appended; Timeout, TransportFailed or
/// Malformed when an append may have taken effect; OffsetExpired when the offset is below what the log keeps.
class LogClient
{
public:
    virtual ~LogClient() = default;

    /// Appends records in order; the result is the offset of the first.
    virtual auto append(LogStream stream, std::vector<nlohmann::json> bodies, std::function<void(Result<Offset>)> done) -> void = 0;

    /// Reads records from an offset on; offset 0 stands for the first record that is kept.
    virtual auto read(LogReadRequest request, std::function<void(Result<LogPage>)> done) -> void = 0;
};
} // namespace Marjoramfold
