#include "marjoramfold/store/streamfollower.h"

#include "marjoramfold/observability/logline.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
StreamFollower::StreamFollower(StreamStore store, Schedule schedule, FollowerOptions options, OnRecords onRecords, OnReload onReload)
    : store_(std::move(store))
    , schedule_(std::move(schedule))
    , options_(std::move(options))
    , onRecords_(std::move(onRecords))
    , onReload_(std::move(onReload))
{
}

auto StreamFollower::start() -> void
{
    restart();
}

auto StreamFollower::stop() -> void
{
    stopped_ = true;
    waiters_.clear();
}

auto StreamFollower::setReadTiming(std::chrono::milliseconds readPause, std::chrono::milliseconds wait) -> void
{
    options_.readPause_ = readPause;
    options_.wait_ = wait;
}

auto StreamFollower::currentAsOf() const -> BootTime
{
    return currentAsOf_;
}

auto StreamFollower::isLoaded() const -> bool
{
    return loaded_;
}

auto StreamFollower::expedite(std::chrono::milliseconds duration) -> void
{
    expediteUntil_ = std::max(expediteUntil_, BootClock::now() + duration);
    if (loaded_ && !loading_ && pausing_) {
        read();
    }
}

auto StreamFollower::whenCurrent(std::chrono::milliseconds timeout, std::function<void(bool)> callback) -> void
{
    const auto id = nextWaiter_++;
    waiters_.push_back({id, BootClock::now(), std::move(callback)});
    schedule_(timeout, [weak = weak_from_this(), id] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto found = std::find_if(self->waiters_.begin(), self->waiters_.end(), [id](const Waiter &waiter) {
            return waiter.id_ == id;
        });
        if (found != self->waiters_.end()) {
            const auto expired = std::move(found->callback_);
            self->waiters_.erase(found);
            expired(false);
        }
    });
    // The answer to a read that began earlier may lack newer records, so a new read supersedes one that waits for records. A read that
    // does not wait ends soon and is followed by the next.
    if (loaded_ && !loading_ && !readingForWaiters_) {
        read();
    }
}

auto StreamFollower::restart() -> void
{
    firstPage_ = true;
    loading_ = true;
    afterKey_.clear();
    loadTimeout_ = options_.answerTimeout_;
    loadStartedAt_ = BootClock::now();
    load(afterKey_);
}

auto StreamFollower::resumeLoad() -> void
{
    load(afterKey_);
}

auto StreamFollower::load(const std::string &afterKey) -> void
{
    pausing_ = false;
    const auto startedAt = BootClock::now();
    NewestRequest request{options_.stream_, afterKey, loadTimeout_, failing_};
    store_.newest_(std::move(request), [weak = weak_from_this(), generation = ++generation_, startedAt](Result<NewestPage> result) {
        if (const auto self = weak.lock(); self && !self->stopped_ && self->generation_ == generation) {
            self->onNewest(std::move(result), startedAt);
        }
    });
}

auto StreamFollower::onNewest(Result<NewestPage> result, BootTime startedAt) -> void
{
    if (!isOk(result)) {
        retry(errorOf(result));
        return;
    }
    failing_ = false;
    const auto &page = valueOf(result);
    if (firstPage_) {
        // Pages are read at different times, so following starts at the end offset of the first page.
        nextOffset_ = page.end_;
        loadStartedAt_ = startedAt;
        onReload_();
        firstPage_ = false;
    }
    loaded_ = loaded_ || !page.more_;
    onRecords_(page.records_, !page.more_);
    if (page.more_ && !page.records_.empty()) {
        afterKey_ = page.records_.back().record_.key_;
        load(afterKey_);
        return;
    }
    loading_ = false;
    markCurrent(loadStartedAt_);
    read();
}

auto StreamFollower::read() -> void
{
    pausing_ = false;
    readingForWaiters_ = !waiters_.empty();
    const auto startedAt = BootClock::now();
    // Waiters need an answer at once, so a read for them does not wait for records.
    const auto wait = waiters_.empty() ? options_.wait_ : std::chrono::milliseconds(0);
    ReadRequest request{options_.stream_, nextOffset_, wait, wait + options_.answerTimeout_, failing_};
    store_.read_(std::move(request), [weak = weak_from_this(), generation = ++generation_, startedAt](Result<ReadPage> result) {
        if (const auto self = weak.lock(); self && !self->stopped_ && self->generation_ == generation) {
            self->onRead(std::move(result), startedAt);
        }
    });
}

auto StreamFollower::onRead(Result<ReadPage> result, BootTime startedAt) -> void
{
    if (!isOk(result)) {
        if (errorOf(result).kind_ == ErrorKind::OffsetExpired) {
            LogLine(LogSeverity::Warning, "stream_history_dropped").with("topic", options_.stream_.topic_).with("next_offset", nextOffset_);
            restart();
            return;
        }
        retry(errorOf(result));
        return;
    }
    if (failing_) {
        failing_ = false;
        LogLine(LogSeverity::Info, "stream_regained").with("topic", options_.stream_.topic_).with("next_offset", nextOffset_);
    }
    const auto &page = valueOf(result);
    const auto hasRecords = !page.records_.empty();
    if (hasRecords) {
        nextOffset_ = page.records_.back().offset_ + 1;
        onRecords_(page.records_, true);
    }
    // The store limits the size of a page; only a page that reaches the end shows that everything was read.
    const auto reachedEnd = nextOffset_ >= page.end_;
    if (reachedEnd) {
        markCurrent(startedAt);
    }
    if (stopped_) {
        return;
    }
    const auto pause = BootClock::now() < expediteUntil_ ? std::min(options_.readPause_, options_.shortReadPause_) : options_.readPause_;
    if (hasRecords && reachedEnd && waiters_.empty() && pause.count() > 0) {
        pausing_ = true;
        runAfter(pause, &StreamFollower::read);
    } else {
        read();
    }
}

auto StreamFollower::markCurrent(BootTime startedAt) -> void
{
    currentAsOf_ = std::max(currentAsOf_, startedAt);
    std::vector<std::function<void(bool)>> satisfied;
    std::erase_if(waiters_, [&satisfied, startedAt](Waiter &waiter) {
        if (waiter.since_ <= startedAt) {
            satisfied.push_back(std::move(waiter.callback_));
            return true;
        }
        return false;
    });
    for (const auto &callback : satisfied) {
        callback(true);
    }
}

auto StreamFollower::retry(const Error &error) -> void
{
    if (!failing_) {
        failing_ = true;
        LogLine(LogSeverity::Warning, "stream_lost").with("topic", options_.stream_.topic_).with("next_offset", nextOffset_).with("reason", toString(error));
    }
    if (loading_) {
        // The pages that were read stay valid: following starts where the stream ended at the first one.
        loadTimeout_ = std::min(loadTimeout_ * 2, options_.maxLoadTimeout_);
        runAfter(options_.retryPause_, &StreamFollower::resumeLoad);
    } else {
        runAfter(options_.retryPause_, &StreamFollower::read);
    }
}

auto StreamFollower::runAfter(std::chrono::milliseconds pause, void (StreamFollower::*step)()) -> void
{
    schedule_(pause, [weak = weak_from_this(), generation = ++generation_, step] {
        if (const auto self = weak.lock(); self && !self->stopped_ && self->generation_ == generation) {
            ((*self).*step)();
        }
    });
}
} // namespace Marjoramfold
