#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/log/backoff.h"
#include "marjoramfold/log/logclient.h"
#include "marjoramfold/log/records.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace Marjoramfold
{
/// Limits of an append queue.
struct AppendQueueOptions {
    LogStream stream_ = LogStream::Control;
    std::size_t maxBatchRecords_ = 64;
    /// Limit in bytes of JSON; a larger record is sent in a batch of its own.
    std::size_t maxBatchBytes_ = 1U << 20U;
    std::chrono::milliseconds maxBatchDelay_{10};
    /// Limits on queued records; beyond them a record is refused at once.
    std::size_t maxRecords_ = 4'096;
    std::size_t maxBytes_ = 16U << 20U;
    BackoffOptions backoff_;
    std::uint64_t seed_ = 0;
};

/// Outcome of appending a record.
enum class AppendOutcome {
    Appended,
    /// The record is not in the log and never will be.
    NotAppended,
    /// The timeout expired, but an append of the record may have taken effect. A second, final report follows once that is known.
    Undetermined,
};

/// Report on one record.
struct AppendReport {
    AppendOutcome outcome_ = AppendOutcome::NotAppended;
    /// Offset of the record, when appended.
    Offset offset_ = 0;
    /// Why it was not appended.
    Error error_;
};

using AppendCallback = std::function<void(const AppendReport &)>;

/// Appends records to one stream in order, in batches, with one batch in flight at a time.
///
/// After a lost response, the queue searches the log for the ids of the batch. Records that are not found are sent again with
/// the same ids. The first append may be delayed and still take effect, so readers must ignore repeated ids.
class AppendQueue
{
public:
    /// The log client must outlive the queue.
    AppendQueue(asio::io_context &context, LogClient &log, Clock clock, AppendQueueOptions options);
    ~AppendQueue();
    AppendQueue(const AppendQueue &) = delete;
    auto operator=(const AppendQueue &) -> AppendQueue & = delete;

    /// Queues a record. After the timeout it is reported as NotAppended, or as Undetermined if an append of it got no response.
    /// The callback runs on the io_context, never within this call. Destroying the queue drops callbacks.
    auto append(const Record &record, std::chrono::milliseconds timeout, AppendCallback callback) -> void;

    /// Records without a final outcome.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
