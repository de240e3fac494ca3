#include "marjoramfold/entry/intentscontroller.h"

#include <asio/post.hpp>

#include <utility>

namespace Marjoramfold
{
namespace
{
// A caller waits for its intent, so the append times out long before typical deadlines.
constexpr std::chrono::milliseconds IntentAppendTimeout{2'000};

// Requests wait until their record is read back, so the follower uses long polls, which return as soon as a record arrives.
constexpr std::chrono::milliseconds LongPollWait{5'000};

// Intents that arrive in the same iteration of the event loop share a record, up to this number.
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
                     // Published at once, so that the ownership of keys can be decided even if the stream is empty.
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
            // A second, final report may follow an unknown outcome. It is ignored, since the record is read back from the log.
            if (std::exchange(isAnswered, true)) {
                return;
            }
            Result<Success> result = Success();
            if (report.outcome_ == AppendOutcome::NotAppended) {
                result = Error{ErrorKind::LogUnavailable, report.error_.message_, report.error_.retryAfter_};
            } else if (report.outcome_ == AppendOutcome::Undetermined) {
                result = Error{ErrorKind::Timeout, "the log did not answer the append in time; the outcome is unknown", std::nullopt};
            }
            for (const auto &done : callbacks) {
                done(result);
            }
        });
    }
}
} // namespace Marjoramfold
