#include "marjoramfold/routing/requestdispatcher.h"

#include <algorithm>
#include <cassert>

namespace Marjoramfold
{
namespace
{
/// Interval for pruning the idempotency table and comparing the latencies of targets.
constexpr std::chrono::milliseconds HousekeepingInterval{100};

/// Suggested to refused callers; an overload or outage may be over by then.
constexpr std::chrono::milliseconds RetryAfter{1'000};

auto maybeRan(const std::string &message) -> Error
{
    return {ErrorKind::MaybeRan, message, std::nullopt};
}
} // namespace

RequestDispatcher::RequestDispatcher(RequestDispatcherOptions options)
    : options_(std::move(options))
    , random_(options_.seed_)
    , pool_(options_.pool_)
    , queues_(options_.queues_)
    , idempotencyTable_(options_.idempotencyTable_)
    , intents_(options_.keyWindow_)
    , issuedKeys_(options_.keySecrets_)
{
}

auto RequestDispatcher::handle(RoutingEvent event, EventTime now) -> RoutingCommands
{
    now_ = now;
    std::visit(
        [this](auto &specific) {
            on(specific);
        },
        event);
    return std::move(commands_);
}

auto RequestDispatcher::on(RequestArrived &event) -> void
{
    ++counters_.received_;
    if (!event.idempotent_ && event.key_.empty()) {
        refuse(event.number_, {ErrorKind::InvalidRequest, "a request that is not idempotent needs an Idempotency-Key", std::nullopt});
        return;
    }
    if (!event.key_.empty() && handleKnownKey(event)) {
        return;
    }
    auto right = ExecutionRight::Local;
    if (!event.idempotent_) {
        const auto decision = decideKey(event.key_);
        if (!isOk(decision)) {
            refuse(event.number_, errorOf(decision));
            return;
        }
        right = valueOf(decision).right_;
        if (right == ExecutionRight::Remote) {
            forward(event, valueOf(decision).owner_);
            return;
        }
    }
    if (const auto error = admissionError(event)) {
        refuse(event.number_, *error);
        return;
    }
    admit(event, right);
}

/// Handles a request whose key is in the table; false when the request still has to be executed.
auto RequestDispatcher::handleKnownKey(const RequestArrived &event) -> bool
{
    auto *entry = idempotencyTable_.find(event.key_);
    if (entry == nullptr) {
        return false;
    }
    if (entry->fingerprint_ != event.fingerprint_) {
        refuse(event.number_, {ErrorKind::InvalidRequest, "the key was used for a request with another team or body", std::nullopt});
        return true;
    }
    switch (entry->state_) {
    case IdempotencyState::InProgress:
        coalesce(event, *entry);
        return true;
    case IdempotencyState::Answered: {
        ++counters_.deduplicated_;
        ++counters_.answered_;
        commands_.emplace_back(std::in_place_type<AnswerCaller>, AnswerCaller{event.number_, *entry->answer_});
        commands_.emplace_back(std::in_place_type<ReleaseRequest>, ReleaseRequest{event.number_});
        return true;
    }
    case IdempotencyState::Unknown:
        break;
    }
    if (entry->idempotent_ && event.idempotent_) {
        return false;
    }
    refuse(event.number_, maybeRan("an earlier request with this key may have run, but its answer is not known; the request was not run again"));
    return true;
}

auto RequestDispatcher::coalesce(const RequestArrived &event, IdempotencyEntry &entry) -> void
{
    ++counters_.deduplicated_;
    entry.waiting_.push_back(event.number_);
    ActiveRequest active;
    active.key_ = event.key_;
    active.deadline_ = event.deadline_;
    active.stage_ = Stage::Coalesced;
    activeRequests_.emplace(event.number_, std::move(active));
    deadlines_.add(event.number_, event.deadline_);
    ++waitingCallers_;
}

auto RequestDispatcher::decideKey(const std::string &key) const -> Result<KeyDecision>
{
    if (!IssuedKeys::isIssued(key)) {
        return decideCallerKey(key);
    }
    const auto content = issuedKeys_.verify(key, now_.wall_);
    if (!isOk(content)) {
        return errorOf(content);
    }
    const auto &issuer = valueOf(content).issuer_;
    return KeyDecision{issuer == options_.self_ ? ExecutionRight::Local : ExecutionRight::Remote, issuer};
}

auto RequestDispatcher::decideCallerKey(const std::string &key) const -> Result<KeyDecision>
{
    const auto keyTime = callerKeyTime(key);
    if (!keyTime) {
        return Error{ErrorKind::InvalidRequest, "the key must have the form UNIXSECONDS.ANYTHING or be issued by POST /v1/request-keys", std::nullopt};
    }
    if (now_.wall_ > *keyTime + options_.keyWindow_.maxAge_) {
        return Error{ErrorKind::KeyExpired, "the time in the key is more than an hour ago", std::nullopt};
    }
    if (now_.wall_ < *keyTime - options_.keyWindow_.maxAhead_) {
        return Error{ErrorKind::KeyExpired, "the time in the key is more than 60 s ahead", std::nullopt};
    }
    switch (intents_.ownershipOf(key, *keyTime)) {
    case KeyOwnership::Unclaimed:
        return KeyDecision{ExecutionRight::NeedsIntent, {}};
    case KeyOwnership::Owned: {
        const auto owner = *intents_.owner(key);
        // The table keeps every key that this incarnation sent to a target, so its own intent without an entry means that nothing was sent.
        return KeyDecision{owner == options_.self_ ? ExecutionRight::Local : ExecutionRight::Remote, owner};
    }
    case KeyOwnership::Undetermined:
        break;
    }
    return Error{ErrorKind::LogUnavailable, "the log was not read back to the time of the key, so an earlier run cannot be ruled out", RetryAfter};
}

auto RequestDispatcher::admissionError(const RequestArrived &event) const -> std::optional<Error>
{
    if (draining_) {
        return Error{ErrorKind::Draining, "the instance is shutting down and accepts no new requests", RetryAfter};
    }
    if (!rules_) {
        return Error{ErrorKind::RulesNotLoaded, "the instance has not loaded any rules yet", RetryAfter};
    }
    if (pool_.usableCount() == 0) {
        return Error{ErrorKind::NoTarget, "no target is available", RetryAfter};
    }
    if (!event.key_.empty() && idempotencyTable_.isFull()) {
        return Error{ErrorKind::QueueFull, "the table of idempotency keys is full", RetryAfter};
    }
    if (!queues_.hasRoom(event.team_, event.priority_)) {
        return Error{ErrorKind::QueueFull, "too many requests of this team and priority are queued", RetryAfter};
    }
    if (cannotMeetDeadline(event.deadline_, queues_.size())) {
        return Error{ErrorKind::DeadlineUnreachable, "no target is expected to answer before the deadline", std::nullopt};
    }
    return std::nullopt;
}

auto RequestDispatcher::forward(const RequestArrived &event, const InstanceIncarnation &owner) -> void
{
    if (event.forwarded_ || owner.instance_ == options_.self_.instance_) {
        refuse(event.number_, maybeRan("the instance that owns this key was restarted or replaced, so an earlier run cannot be ruled out"));
        return;
    }
    ActiveRequest active;
    active.key_ = event.key_;
    active.deadline_ = event.deadline_;
    active.stage_ = Stage::Forwarded;
    active.idempotent_ = false;
    const auto left = timeLeft(active);
    activeRequests_.emplace(event.number_, std::move(active));
    deadlines_.add(event.number_, event.deadline_);
    ++waitingCallers_;
    commands_.emplace_back(std::in_place_type<ForwardToInstance>, ForwardToInstance{event.number_, owner, left});
}

auto RequestDispatcher::admit(const RequestArrived &event, ExecutionRight right) -> void
{
    if (!event.key_.empty()) {
        IdempotencyEntry entry;
        entry.number_ = event.number_;
        entry.fingerprint_ = event.fingerprint_;
        entry.idempotent_ = event.idempotent_;
        if (!event.idempotent_) {
            // No instance accepts the key after this time, even if the time in the key is maxAhead_ ahead.
            entry.retainUntil_ = now_.steady_ + options_.keyWindow_.maxAge_ + options_.keyWindow_.maxAhead_ + 2 * options_.keyWindow_.maxClockSkew_;
        }
        idempotencyTable_.startRequest(event.key_, std::move(entry));
    }
    ActiveRequest fresh;
    fresh.team_ = event.team_;
    fresh.priority_ = event.priority_;
    fresh.key_ = event.key_;
    fresh.idempotent_ = event.idempotent_;
    fresh.deadline_ = event.deadline_;
    auto &active = activeRequests_.emplace(event.number_, std::move(fresh)).first->second;
    deadlines_.add(event.number_, event.deadline_);
    ++waitingCallers_;
    if (right == ExecutionRight::NeedsIntent) {
        active.stage_ = Stage::AwaitingIntent;
        commands_.emplace_back(std::in_place_type<AppendIntent>, AppendIntent{event.number_, event.key_});
        return;
    }
    dispatchOrQueue(event.number_, active);
}

auto RequestDispatcher::on(IntentAppendFailed &event) -> void
{
    const auto *active = find(event.number_);
    if (active != nullptr && active->stage_ == Stage::AwaitingIntent) {
        finishNotRun(event.number_, event.error_);
    }
}

auto RequestDispatcher::on(IntentsRead &event) -> void
{
    for (const auto &key : intents_.apply(*event.page_, now_.wall_)) {
        resolveIntent(key);
    }
}

/// Continues a request that waits for the intent of its key to be read from the log.
auto RequestDispatcher::resolveIntent(const std::string &key) -> void
{
    const auto *entry = idempotencyTable_.find(key);
    if (entry == nullptr || entry->state_ != IdempotencyState::InProgress) {
        return;
    }
    const auto number = entry->number_;
    auto *active = find(number);
    if (active == nullptr || active->stage_ != Stage::AwaitingIntent) {
        return;
    }
    const auto owner = intents_.owner(key);
    if (!owner) {
        finishNotRun(number,
                     {ErrorKind::LogUnavailable, "records of the log may have been missed, so an earlier run of this key cannot be ruled out", RetryAfter});
    } else if (*owner == options_.self_) {
        active->stage_ = Stage::Queued;
        dispatchOrQueue(number, *active);
    } else {
        // Another instance has the first intent and runs the request; this one forwards it to get the answer.
        const auto waiting = entry->waiting_;
        answerWaiting(waiting, maybeRan("another instance owns this key and may have run its request"));
        idempotencyTable_.remove(key);
        active->stage_ = Stage::Forwarded;
        commands_.emplace_back(std::in_place_type<ForwardToInstance>, ForwardToInstance{number, *owner, timeLeft(*active)});
    }
}

auto RequestDispatcher::on(ForwardAnswered &event) -> void
{
    const auto *active = find(event.number_);
    if (active == nullptr || active->stage_ != Stage::Forwarded) {
        return;
    }
    answer(event.number_, std::move(event.result_));
    erase(event.number_);
}

auto RequestDispatcher::on(TargetsChanged &event) -> void
{
    if (pool_.applyList(*event.targets_)) {
        dispatchQueued();
    }
}

auto RequestDispatcher::on(RoutingRulesChanged &event) -> void
{
    rules_ = event.rules_;
    pool_.applyRules(*rules_);
    queues_.applyRules(*rules_);
    dispatchQueued();
}

auto RequestDispatcher::on(TargetLeaving &event) -> void
{
    pool_.markLeaving(event.target_, now_.wall_);
}

auto RequestDispatcher::on(RoutingDrainStarted & /*event*/) -> void
{
    draining_ = true;
}

auto RequestDispatcher::on(RoutingTick & /*event*/) -> void
{
    for (const auto number : deadlines_.popExpired(now_.steady_)) {
        onDeadline(number);
    }
    if (now_.steady_ >= nextHousekeeping_) {
        nextHousekeeping_ = now_.steady_ + HousekeepingInterval;
        idempotencyTable_.prune(now_.steady_);
        pool_.ejectSlow(now_.steady_);
    }
    dispatchQueued();
}

auto RequestDispatcher::status(const std::string &key, WallTime now) -> KeyStatus
{
    if (const auto *entry = idempotencyTable_.find(key)) {
        switch (entry->state_) {
        case IdempotencyState::InProgress:
            return {KeyStatus::State::InProgress, nullptr, std::nullopt};
        case IdempotencyState::Answered:
            return {KeyStatus::State::Answered, entry->answer_, std::nullopt};
        case IdempotencyState::Unknown:
            return {KeyStatus::State::Unknown, nullptr, std::nullopt};
        }
    }
    std::optional<InstanceIncarnation> owner;
    if (IssuedKeys::isIssued(key)) {
        const auto content = issuedKeys_.verify(key, now);
        if (isOk(content)) {
            owner = valueOf(content).issuer_;
        }
    } else {
        owner = intents_.owner(key);
    }
    if (!owner || *owner == options_.self_) {
        return {};
    }
    if (owner->instance_ == options_.self_.instance_) {
        return {KeyStatus::State::Unknown, nullptr, std::nullopt};
    }
    return {KeyStatus::State::OwnedByOther, nullptr, owner};
}

auto RequestDispatcher::setKeyFilter(std::function<bool(const std::string &)> filter) -> void
{
    intents_.setFilter(std::move(filter));
}

auto RequestDispatcher::waitingCallers() const -> std::size_t
{
    return waitingCallers_;
}

auto RequestDispatcher::openRequests() const -> std::size_t
{
    return activeRequests_.size();
}

auto RequestDispatcher::counters() const -> const RoutingCounters &
{
    return counters_;
}

auto RequestDispatcher::pool() const -> const TargetPool &
{
    return pool_;
}

auto RequestDispatcher::timeLeft(const ActiveRequest &active) const -> std::chrono::milliseconds
{
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(active.deadline_ - now_.steady_));
}

auto RequestDispatcher::cannotMeetDeadline(SteadyTime deadline, std::size_t queuedAhead) const -> bool
{
    if (now_.steady_ >= deadline) {
        return true;
    }
    const auto latency = pool_.expectedLatency(now_.steady_);
    const auto slots = std::max<std::size_t>(1, pool_.slotCount());
    return now_.steady_ + latency + latency * (queuedAhead / slots) > deadline;
}

auto RequestDispatcher::find(RequestNumber number) -> ActiveRequest *
{
    const auto found = activeRequests_.find(number);
    return found == activeRequests_.end() ? nullptr : &found->second;
}
} // namespace Marjoramfold
