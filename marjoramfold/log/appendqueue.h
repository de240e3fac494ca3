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
    /// Largest batch in bytes of JSON; one larger record goes alone.
    std::size_t maxBatchBytes_ = 1U << 20U;
    std::chrono::milliseconds maxBatchDelay_{10};
    /// Records that may wait; beyond them a record is refused at once.
    std::size_t maxRecords_ = 4'096;
    std::size_t maxBytes_ = 16U << 20U;
    BackoffOptions backoff_;
    std::uint64_t seed_ = 0;
};

/// What became of a record.
enum class AppendOutcome {
    Appended,
    /// The record surely is not in the log and will not be.
    NotAppended,
    /// The record's time is up, but an append of it may have taken effect. A second, final call follows once it is known.
    Undetermined,
};

/// Outcome of one record.
struct AppendReport {
    AppendOutcome outcome_ = AppendOutcome::NotAppended;
    /// Offset of the record, when appended.
    Offset offset_ = 0;
    /// Why it was not appended.
    Error error_;
};

using AppendCallback = std::function<void(const AppendReport &)>;

/// Appends records to one stream in order, in groups, one group at a time.
///
/// An append whose answer was lost is looked for by the ids of its records. Only records that are not found are sent again,
/// under the same ids, since a delayed append may still take effect: readers must ignore a repeated id.
class AppendQueue
{
public:
    /// The log client must outlive the queue.
    AppendQueue(asio::io_context &context, LogClient &log, Clock clock, AppendQueueOptions options);
    ~AppendQueue();
    AppendQueue(const AppendQueue &) = delete;
    auto operator=(const AppendQueue &) -> AppendQueue & = delete;

    /// Queues a record. After giveUpAfter it is reported NotAppended if no append of it was tried without an answer, else Undetermined.
    /// The callback runs on the io_context, never within this call. Destroying the queue drops callbacks.
    auto append(const Record &record, std::chrono::milliseconds giveUpAfter, AppendCallback callback) -> void;

    /// Records without a final outcome.
    [[nodiscard]] auto pending() const -> std::size_t;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};
} // namespace Marjoramfold
