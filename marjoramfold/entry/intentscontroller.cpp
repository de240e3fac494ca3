#include "marjoramfold/entry/intentscontroller.h"

#include <asio/post.hpp>

#include <utility>

namespace Marjoramfold
{
namespace
{
// A caller waits for its intent, so it is given up long before usual deadlines.
constexpr std::chrono::milliseconds IntentAppendTimeout{2'000};

// Requests wait for the record to be read back, so the follower's polls must be held open by the log.
constexpr std::chrono::milliseconds LongPollWait{5'000};

// Intents in one record. All that arrive in one turn of the loop share a record.
constexpr std::size_t MaxIntentsPerRecord = 256;

auto appendOptions() -> AppendQueueOptions
{
    AppendQueueOptions options;
    options.stream_ = LogStream::Intents;
    return options;
}

auto followerOptions() -> LogFollowerOptions
{
    LogFollowerOptions options;
    options.stream_ = LogStream::Intents;
    options.wait_ = LongPollWait;
    return options;
}
} // namespace

IntentsController::IntentsController(asio::io_context &context, LogClient &log, Clock clock, InstanceIncarnation self, IntentsControllerHooks hooks)
    : context_(context)
    , self_(std::move(self))
    , hooks_(std::move(hooks))
    , appends_(context, log, clock, appendOptions())
    , follower_(context,
                log,
                clock,
                followerOptions(),
                {[this](Offset first) {
                     // Told at once, so that keys are decided even while the stream is empty.
                     auto page = std::make_shared<IntentPage>();
                     page->begins_ = true;
                     page->first_ = first;
                     hooks_.onPage_(page);
                 },
                 [this](const std::vector<FollowedRecord> &records) {
                     auto page = std::make_shared<IntentPage>();
                     page->records_ = records;
                     hooks_.onPage_(page);
                 },
                 [] {}})
{
}

auto IntentsController::start() -> void
{
    follower_.start();
}

auto IntentsController::append(const std::string &key, std::function<void(Result<Success>)> done) -> void
{
    pending_.push_back({makeIntent(key, self_), std::move(done)});
    if (pending_.size() == 1) {
        asio::post(context_, [this] {
            flush();
        });
    }
}

auto IntentsController::flush() -> void
{
    while (!pending_.empty()) {
        const auto count = std::min(pending_.size(), MaxIntentsPerRecord);
        IntentBatchRecord record{hooks_.newRecordId_(), self_.instance_, {}};
        std::vector<std::function<void(Result<Success>)>> callbacks;
        for (std::size_t i = 0; i < count; ++i) {
            record.intents_.push_back(std::move(pending_[i].intent_));
            callbacks.push_back(std::move(pending_[i].done_));
        }
        pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(count));
        appends_.append(record, IntentAppendTimeout, [callbacks = std::move(callbacks), isAnswered = false](const AppendReport &report) mutable {
            // An unknown outcome is reported once; its final outcome is read back from the log.
            if (std::exchange(isAnswered, true)) {
                return;
            }
            Result<Success> result = Success();
            if (report.outcome_ == AppendOutcome::NotAppended) {
                result = Error{ErrorKind::LogUnavailable, report.error_.message_, report.error_.retryAfter_};
            } else if (report.outcome_ == AppendOutcome::Undetermined) {
                result = Error{ErrorKind::Timeout, "the log did not answer", std::nullopt};
            }
            for (const auto &done : callbacks) {
                done(result);
            }
        });
    }
}
} // namespace Marjoramfold
