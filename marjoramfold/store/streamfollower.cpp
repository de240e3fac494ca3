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

auto StreamFollower::setReadTiming(std::chrono::milliseconds pace, std::chrono::milliseconds wait) -> void
{
    options_.readPause_ = pace;
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

auto StreamFollower::expedite(std::chrono::milliseconds time) -> void
{
    expediteUntil_ = std::max(expediteUntil_, BootClock::now() + time);
    if (loaded_ && !loading_ && pacing_) {
        read();
    }
}

auto StreamFollower::whenCurrent(std::chrono::milliseconds deadline, std::function<void(bool)> callback) -> void
{
    const auto id = nextWaiter_++;
    waiters_.push_back({id, BootClock::now(), std::move(callback)});
    schedule_(deadline, [weak = weak_from_this(), id] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto found = std::find_if(self->waiters_.begin(), self->waiters_.end(), [id](const Waiter &waiter) {
            return waiter.id_ == id;
        });
        if (found != self->waiters_.end()) {
            const auto late = std::move(found->callback_);
            self->waiters_.erase(found);
            late(false);
        }
    });
    // A waiting read that began earlier proves nothing; a new one overtakes it. A read that does not wait is soon followed by the next.
    if (loaded_ && !loading_ && !probing_) {
        read();
    }
}

auto StreamFollower::restart() -> void
{
    firstPage_ = true;
    loading_ = true;
    afterKey_.clear();
    loadStartedAt_ = BootClock::now();
    load(afterKey_);
}

auto StreamFollower::load(const std::string &afterKey) -> void
{
    pacing_ = false;
    const auto startedAt = BootClock::now();
    NewestRequest request{options_.stream_, afterKey, options_.answerTimeout_, failing_};
    store_.newest_(std::move(request), [weak = weak_from_this(), turn = ++turn_, startedAt](Result<NewestPage> result) {
        if (const auto self = weak.lock(); self && !self->stopped_ && self->turn_ == turn) {
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
        // Pages are read at different times: following starts where the first one stood.
        next_ = page.end_;
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
    pacing_ = false;
    probing_ = !waiters_.empty();
    const auto startedAt = BootClock::now();
    // Waiting callers need proof now; nothing else may hold the answer back.
    const auto wait = waiters_.empty() ? options_.wait_ : std::chrono::milliseconds(0);
    ReadRequest request{options_.stream_, next_, wait, wait + options_.answerTimeout_, failing_};
    store_.read_(std::move(request), [weak = weak_from_this(), turn = ++turn_, startedAt](Result<ReadPage> result) {
        if (const auto self = weak.lock(); self && !self->stopped_ && self->turn_ == turn) {
            self->onRead(std::move(result), startedAt);
        }
    });
}

auto StreamFollower::onRead(Result<ReadPage> result, BootTime startedAt) -> void
{
    if (!isOk(result)) {
        if (errorOf(result).kind_ == ErrorKind::OffsetExpired) {
            LogLine(LogSeverity::Warning, "stream_history_dropped").with("topic", options_.stream_.topic_).with("next_offset", next_);
            restart();
            return;
        }
        retry(errorOf(result));
        return;
    }
    if (failing_) {
        failing_ = false;
        LogLine(LogSeverity::Info, "stream_regained").with("topic", options_.stream_.topic_).with("next_offset", next_);
    }
    const auto &page = valueOf(result);
    const auto brought = !page.records_.empty();
    if (brought) {
        next_ = page.records_.back().offset_ + 1;
        onRecords_(page.records_, true);
    }
    // A page may be cut by its size; only one that reaches the end proves that everything was read.
    const auto reachedEnd = next_ >= page.end_;
    if (reachedEnd) {
        markCurrent(startedAt);
    }
    if (stopped_) {
        return;
    }
    const auto pace = BootClock::now() < expediteUntil_ ? std::min(options_.readPause_, options_.shortReadPause_) : options_.readPause_;
    if (brought && reachedEnd && waiters_.empty() && pace.count() > 0) {
        pacing_ = true;
        after(pace, &StreamFollower::read);
    } else {
        read();
    }
}

auto StreamFollower::markCurrent(BootTime startedAt) -> void
{
    currentAsOf_ = std::max(currentAsOf_, startedAt);
    std::vector<std::function<void(bool)>> ready;
    std::erase_if(waiters_, [&ready, startedAt](Waiter &waiter) {
        if (waiter.since_ <= startedAt) {
            ready.push_back(std::move(waiter.callback_));
            return true;
        }
        return false;
    });
    for (const auto &callback : ready) {
        callback(true);
    }
}

auto StreamFollower::retry(const Error &error) -> void
{
    if (!failing_) {
        failing_ = true;
        LogLine(LogSeverity::Warning, "stream_lost").with("topic", options_.stream_.topic_).with("next_offset", next_).with("reason", toString(error));
    }
    if (loading_) {
        after(options_.retryPause_, &StreamFollower::restart);
    } else {
        after(options_.retryPause_, &StreamFollower::read);
    }
}

auto StreamFollower::after(std::chrono::milliseconds pause, void (StreamFollower::*step)()) -> void
{
    schedule_(pause, [weak = weak_from_this(), turn = ++turn_, step] {
        if (const auto self = weak.lock(); self && !self->stopped_ && self->turn_ == turn) {
            ((*self).*step)();
        }
    });
}
} // namespace Marjoramfold
