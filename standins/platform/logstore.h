#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Marjoramfold::Standin
{
/// Limits on the number and the age of the records that a stream keeps.
struct RetentionOptions {
    std::size_t maxRecords_ = 1'000'000;
    std::chrono::milliseconds maxAge_{std::chrono::hours(24)};
};

/// A record as stored: its body is JSON text.
struct StoredRecord {
    Offset offset_ = 0;
    WallTime time_;
    std::string body_;
};

/// Records read from a stream, with the offset of the first record kept and the next offset to assign.
struct StoredPage {
    Offset first_ = 0;
    Offset end_ = 0;
    std::vector<const StoredRecord *> records_;
};

/// Append-only streams with offsets from 1 and limited retention. Callers pass the time.
class LogStore
{
public:
    explicit LogStore(RetentionOptions retention);

    /// Appends records in order and returns the offset of the first.
    auto append(const std::string &stream, std::vector<std::string> bodies, WallTime now) -> Offset;

    /// Reads at most maxRecords records from an offset on; 0 means the first record kept. Fails with OffsetExpired below that one.
    /// The record pointers are valid until the next append.
    [[nodiscard]] auto read(const std::string &stream, Offset from, std::size_t maxRecords, WallTime now) -> Result<StoredPage>;

    /// Drops all records of a stream, as retention would.
    auto dropAll(const std::string &stream) -> void;

private:
    struct Stream {
        Offset end_ = 1;
        std::deque<StoredRecord> records_;
    };

    auto applyRetention(Stream &stream, WallTime now) -> void;

    RetentionOptions retention_;
    std::map<std::string, Stream> streams_;
};
} // namespace Marjoramfold::Standin
