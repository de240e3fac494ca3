#pragma once

#include "marjoramfold/core/error.h"
#include "marjoramfold/core/result.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// A partition of a keyed topic. The store retains at least the newest record of each key.
struct StreamId {
    std::string topic_;
    std::uint32_t partition_ = 0;
};

/// A record to append. A record without a value is a tombstone and deletes the key.
struct KeyedRecord {
    std::string key_;
    std::optional<std::string> value_;
};

/// Largest record that the platform's store accepts, and the largest total of one append, in bytes.
constexpr std::size_t MaxRecordBytes = 262'144;
constexpr std::size_t MaxAppendBytes = 2'097'152;

/// Bytes that a record takes of the limits: the length of the key, the key and the value.
[[nodiscard]] inline auto storedBytes(const KeyedRecord &record) -> std::size_t
{
    return 1 + record.key_.size() + (record.value_ ? record.value_->size() : 0);
}

/// A record read from the store.
struct StoredRecord {
    std::uint64_t offset_ = 0;
    KeyedRecord record_;
};

/// Identity of an append. The store rejects lower epochs of a producer and answers a repeated sequence number with the first result.
struct ProducerStamp {
    std::string producer_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
};

/// An atomic append of records. Without records it only sets the producer's epoch.
struct AppendRequest {
    StreamId stream_;
    std::vector<KeyedRecord> records_;
    ProducerStamp stamp_;
    std::chrono::milliseconds timeout_{0};
    bool freshConnection_ = false;
};

/// The records are stored; `offset_` is the offset of the first one.
struct Appended {
    std::uint64_t offset_ = 0;
};

/// Nothing was stored because the producer has a higher epoch.
struct AppendFenced {
};

/// Nothing was stored by this call because the store expects another sequence number.
struct AppendOutOfSequence {
    std::uint64_t expected_ = 0;
};

/// Nothing was stored, and this call will not store anything later.
struct AppendRefused {
    std::string reason_;
};

/// No answer arrived; the append may have been executed or may still be.
struct AppendUnknown {
    std::string reason_;
};

using AppendResult = std::variant<Appended, AppendFenced, AppendOutOfSequence, AppendRefused, AppendUnknown>;

/// A read of records from offset `from_`. It waits up to `wait_` for the first record.
struct ReadRequest {
    StreamId stream_;
    std::uint64_t from_ = 0;
    std::chrono::milliseconds wait_{0};
    std::chrono::milliseconds timeout_{0};
    bool freshConnection_ = false;
};

/// Consecutive records; `end_` is the offset after the last record of the partition.
struct ReadPage {
    std::uint64_t end_ = 0;
    std::vector<StoredRecord> records_;
};

/// Requests a page of the newest records of all keys.
struct NewestRequest {
    StreamId stream_;
    /// The page starts after this key; empty for the first page.
    std::string afterKey_;
    std::chrono::milliseconds timeout_{0};
    bool freshConnection_ = false;
};

/// Newest records ordered by key. Each page reflects the time at which it was read.
struct NewestPage {
    std::vector<StoredRecord> records_;
    bool more_ = false;
    std::uint64_t end_ = 0;
};

/// Functions that call the platform's store. Each callback runs once, on the caller's thread.
///
/// Errors of reads: OffsetExpired when the records were deleted, LogUnavailable when the store rejects the read, else HttpClient's.
struct StreamStore {
    std::function<void(AppendRequest, std::function<void(AppendResult)>)> append_;
    std::function<void(ReadRequest, std::function<void(Result<ReadPage>)>)> read_;
    std::function<void(NewestRequest, std::function<void(Result<NewestPage>)>)> newest_;
};
} // namespace Marjoramfold
