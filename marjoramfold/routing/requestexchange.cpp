// RequestDispatcher, continued: target selection, exchanges, retries and answers.

#include "marjoramfold/routing/requestdispatcher.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
auto RequestDispatcher::dispatchOrQueue(RequestNumber number, ActiveRequest &active) -> void
{
    // Queued requests are sent first.
    if (queues_.size() == 0 && trySend(number, active)) {
        return;
    }
    active.stage_ = Stage::Queued;
    if (!queues_.push(active.team_, active.priority_, number)) {
        finishNotRun(number, {ErrorKind::QueueFull, "too many requests of this team and priority are queued", std::chrono::seconds(1)});
        return;
    }
    dispatchQueued();
}

auto RequestDispatcher::trySend(RequestNumber number, ActiveRequest &active) -> bool
{
    const auto *target = pool_.acquire(active.idempotent_, active.triedTargets_, now_.steady_, random_);
    if (target == nullptr) {
        return false;
    }
    active.stage_ = Stage::Sent;
    active.target_ = target->info_.id_;
    ++active.attempts_;
    ++counters_.sent_;
    if (active.attempts_ == 1) {
        retryBudget_.deposit();
    }
    const auto left = timeLeft(active);
    commands_.emplace_back(std::in_place_type<SendToTarget>,
                           SendToTarget{number, active.target_, target->info_.address_, left, left + options_.lateAnswerTimeout_});
    return true;
}

/// Sends queued requests while targets have free slots.
auto RequestDispatcher::dispatchQueued() -> void
{
    while (queues_.size() > 0 && pool_.hasFreeSlot(now_.steady_)) {
        const auto number = queues_.pop();
        auto *active = find(*number);
        assert(active != nullptr && active->stage_ == Stage::Queued);
        if (cannotMeetDeadline(active->deadline_, 0)) {
            onDeadline(*number);
            continue;
        }
        if (!trySend(*number, *active)) {
            queues_.pushFront(active->team_, active->priority_, *number);
            return;
        }
    }
}

auto RequestDispatcher::on(TargetAnswered &event) -> void
{
    auto *active = find(event.number_);
    if (active == nullptr) {
        return;
    }
    pool_.release(active->target_, ExchangeOutcome::Answered, event.latency_, now_);
    if (active->stage_ == Stage::Late) {
        ++counters_.lateAnswers_;
    }
    finishAnswered(event.number_, std::move(event.answer_));
    dispatchQueued();
}

auto RequestDispatcher::on(TargetFailed &event) -> void
{
    auto *active = find(event.number_);
    if (active == nullptr) {
        return;
    }
    if (event.error_.kind_ == ErrorKind::AnswerMismatch) {
        ++counters_.mismatched_;
    }
    if (event.outcome_ == ExchangeOutcome::NotSent) {
        --counters_.sent_;
    } else {
        active->mayHaveReachedTarget_ = true;
    }
    pool_.release(active->target_, event.outcome_, std::chrono::microseconds(0), now_);
    retryOrFail(event.number_, *active, event.outcome_, event.error_);
    dispatchQueued();
}

auto RequestDispatcher::retryOrFail(RequestNumber number, ActiveRequest &active, ExchangeOutcome outcome, const Error &error) -> void
{
    const auto attemptsLeft = active.stage_ == Stage::Sent && active.attempts_ < options_.maxAttempts_ && !cannotMeetDeadline(active.deadline_, 0);
    // A retry adds no traffic when the failed attempt sent no byte, so it does not use the retry budget.
    const auto nothingSent = outcome == ExchangeOutcome::NotSent;
    if (attemptsLeft && (nothingSent || (active.idempotent_ && retryBudget_.tryWithdraw()))) {
        if (!nothingSent) {
            ++counters_.retried_;
        }
        active.triedTargets_.push_back(active.target_);
        if (active.triedTargets_.size() >= pool_.usableCount()) {
            // Every target was tried, so any of them may be tried again.
            active.triedTargets_.clear();
        }
        active.stage_ = Stage::Queued;
        queues_.pushFront(active.team_, active.priority_, number);
        return;
    }
    if (!active.mayHaveReachedTarget_) {
        finishNotRun(number, {ErrorKind::NoTarget, "no target was reached: " + error.message_, std::chrono::seconds(1)});
        return;
    }
    finishMaybeRan(number, error);
}

auto RequestDispatcher::onDeadline(RequestNumber number) -> void
{
    auto *active = find(number);
    if (active == nullptr || active->stage_ == Stage::Late) {
        return;
    }
    switch (active->stage_) {
    case Stage::AwaitingIntent:
    case Stage::Queued:
        queues_.remove(active->team_, active->priority_, number);
        if (active->mayHaveReachedTarget_) {
            finishMaybeRan(number, {ErrorKind::TargetTimeout, "the deadline passed before a retry", std::nullopt});
        } else {
            finishNotRun(number, {ErrorKind::DeadlineUnreachable, "the deadline passed before the request was sent to a target", std::nullopt});
        }
        return;
    case Stage::Sent:
        // The exchange stays open, so that a late answer can be stored for its key.
        pool_.countFailure(active->target_, now_.steady_);
        active->stage_ = Stage::Late;
        answer(number, Error{ErrorKind::TargetTimeout, "the target did not answer before the deadline", std::nullopt});
        return;
    case Stage::Forwarded:
        answer(number, Error{ErrorKind::MaybeRan, "the instance that owns the key did not answer before the deadline", std::nullopt});
        erase(number);
        return;
    case Stage::Coalesced:
        if (auto *entry = idempotencyTable_.find(active->key_)) {
            std::erase(entry->waiting_, number);
        }
        answer(number, Error{ErrorKind::DuplicateInProgress, "the first request with this key is still in progress", std::chrono::seconds(1)});
        erase(number);
        return;
    case Stage::Late:
        return;
    }
}

auto RequestDispatcher::finishNotRun(RequestNumber number, const Error &error) -> void
{
    const auto *active = find(number);
    const auto isLate = active->stage_ == Stage::Late;
    const auto key = active->key_;
    if (auto *entry = key.empty() ? nullptr : idempotencyTable_.find(key)) {
        assert(entry->number_ == number);
        const auto waiting = entry->waiting_;
        idempotencyTable_.remove(key);
        answerWaiting(waiting, Error{ErrorKind::NotRun, "the first request with this key was refused: " + error.message_, std::chrono::seconds(1)});
    }
    if (!isLate) {
        answer(number, error);
    }
    erase(number);
}

auto RequestDispatcher::finishMaybeRan(RequestNumber number, const Error &cause) -> void
{
    // The last attempt may have sent nothing although an earlier one did.
    const auto saysNotRun = errorAnswer(cause.kind_).ran_ == Ran::No;
    const auto error = saysNotRun ? Error{ErrorKind::MaybeRan, cause.message_, std::nullopt} : cause;
    const auto *active = find(number);
    const auto key = active->key_;
    if (auto *entry = key.empty() ? nullptr : idempotencyTable_.find(key)) {
        const auto waiting = std::move(entry->waiting_);
        entry->waiting_.clear();
        idempotencyTable_.setUnknown(key, now_.steady_);
        answerWaiting(waiting, error);
    }
    if (active->stage_ != Stage::Late) {
        answer(number, error);
    }
    erase(number);
}

auto RequestDispatcher::finishAnswered(RequestNumber number, RoutedAnswer result) -> void
{
    const auto *active = find(number);
    const auto isLate = active->stage_ == Stage::Late;
    const auto key = active->key_;
    if (auto *entry = key.empty() ? nullptr : idempotencyTable_.find(key)) {
        const auto waiting = std::move(entry->waiting_);
        entry->waiting_.clear();
        idempotencyTable_.setAnswered(key, std::make_shared<const RoutedAnswer>(result), now_.steady_);
        answerWaiting(waiting, result);
    }
    if (!isLate) {
        answer(number, std::move(result));
    }
    erase(number);
}

auto RequestDispatcher::answerWaiting(const std::vector<RequestNumber> &waiting, const Result<RoutedAnswer> &result) -> void
{
    for (const auto number : waiting) {
        answer(number, result);
        erase(number);
    }
}

/// Answers a waiting caller.
auto RequestDispatcher::answer(RequestNumber number, Result<RoutedAnswer> result) -> void
{
    assert(waitingCallers_ > 0);
    --waitingCallers_;
    if (isOk(result)) {
        ++counters_.answered_;
    } else if (errorAnswer(errorOf(result).kind_).ran_ == Ran::No) {
        ++counters_.refusedNotRun_;
    } else {
        ++counters_.maybeRan_;
    }
    commands_.emplace_back(std::in_place_type<AnswerCaller>, AnswerCaller{number, std::move(result)});
}

/// Answers a caller whose request was never admitted.
auto RequestDispatcher::refuse(RequestNumber number, Error error) -> void
{
    ++(errorAnswer(error.kind_).ran_ == Ran::No ? counters_.refusedNotRun_ : counters_.maybeRan_);
    commands_.emplace_back(std::in_place_type<AnswerCaller>, AnswerCaller{number, std::move(error)});
    commands_.emplace_back(std::in_place_type<ReleaseRequest>, ReleaseRequest{number});
}

auto RequestDispatcher::erase(RequestNumber number) -> void
{
    activeRequests_.erase(number);
    commands_.emplace_back(std::in_place_type<ReleaseRequest>, ReleaseRequest{number});
}
} // namespace Marjoramfold
