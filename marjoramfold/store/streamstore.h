#pragma once

#include "marjoramfold/core/error.h"
#include "marjoramfold/core/result.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Marjoramfold
{
/// A partition of a keyed topic, which keeps the newest record of each key.
struct StreamId {
    std::string topic_;
    std::uint32_t partition_ = 0;
};

/// A record to append. Without a value the key is dropped.
struct KeyedRecord {
    std::string key_;
    std::optional<std::string> value_;
};

/// A record that was read.
struct StoredRecord {
    std::uint64_t offset_ = 0;
    KeyedRecord record_;
};

/// Identity of an append; the store refuses lower epochs of a producer and answers repeats of a sequence number with the first result.
struct ProducerStamp {
    std::string producer_;
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
};

/// An append of records, all or nothing. Without records it only sets the producer's epoch.
struct AppendRequest {
    StreamId stream_;
    std::vector<KeyedRecord> records_;
    ProducerStamp stamp_;
    std::chrono::milliseconds timeout_{0};
    bool freshConnection_ = false;
};

/// The records are stored, the first one at this offset.
struct Appended {
    std::uint64_t offset_ = 0;
};

/// Nothing was stored: a higher epoch of the producer is in force.
struct AppendFenced {
};

/// Nothing was stored now: the store expects another sequence number.
struct AppendOutOfSequence {
    std::uint64_t expected_ = 0;
};

/// Nothing was stored, and nothing of it will be.
struct AppendRefused {
    std::string reason_;
};

/// No answer; the append may have been carried out or may be later.
struct AppendUnknown {
    std::string reason_;
};

using AppendResult = std::variant<Appended, AppendFenced, AppendOutOfSequence, AppendRefused, AppendUnknown>;

/// A read of records from an offset on; it waits for the first one.
struct ReadRequest {
    StreamId stream_;
    std::uint64_t from_ = 0;
    std::chrono::milliseconds wait_{0};
    std::chrono::milliseconds timeout_{0};
    bool freshConnection_ = false;
};

/// Records as they follow each other.
struct ReadPage {
    std::uint64_t end_ = 0;
    std::vector<StoredRecord> records_;
};

/// A page of the newest records of all keys.
struct NewestRequest {
    StreamId stream_;
    /// Continues after this key; empty for the first page.
    std::string afterKey_;
    std::chrono::milliseconds timeout_{0};
    bool freshConnection_ = false;
};

/// Newest records, in the order of their keys. Pages are read at different times.
struct NewestPage {
    std::vector<StoredRecord> records_;
    bool more_ = false;
    std::uint64_t end_ = 0;
};

/// The platform's store as hooks. Callbacks run on the caller's thread, once each.
///
/// Errors of reads: OffsetExpired when the records were dropped, LogUnavailable for a refusal, else kinds of HttpClient.
struct StreamStore {
    std::function<void(AppendRequest, std::function<void(AppendResult)>)> append_;
    std::function<void(ReadRequest, std::function<void(Result<ReadPage>)>)> read_;
    std::function<void(NewestRequest, std::function<void(Result<NewestPage>)>)> newest_;
};
} // namespace Marjoramfold
