#pragma once

#include "marjoramfold/routing/deadlines.h"
#include "marjoramfold/routing/idempotencytable.h"
#include "marjoramfold/routing/intenttable.h"
#include "marjoramfold/routing/issuedkeys.h"
#include "marjoramfold/routing/requestqueues.h"
#include "marjoramfold/routing/retrybudget.h"
#include "marjoramfold/routing/routingevents.h"
#include "marjoramfold/routing/targetpool.h"

#include <optional>
#include <unordered_map>

namespace Marjoramfold
{
/// Limits and identity of a dispatcher.
struct RequestDispatcherOptions {
    InstanceIncarnation self_;
    TargetPoolOptions pool_;
    RequestQueueOptions queues_;
    IdempotencyTableOptions idempotencyTable_;
    KeyWindow keyWindow_;
    /// Secrets of issued keys, the signing one first. Issued keys are refused when it is empty.
    std::vector<std::string> keySecrets_;
    /// How long an exchange stays open after the caller's deadline to receive a late answer.
    std::chrono::milliseconds lateAnswerTimeout_{60'000};
    /// Per request.
    int maxAttempts_ = 3;
    std::uint64_t seed_ = 1;
};

/// Counters of a dispatcher since its start.
struct RoutingCounters {
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t retried_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refusedNotRun_ = 0;
    std::uint64_t maybeRan_ = 0;
    /// Requests answered by an earlier request with the same key.
    std::uint64_t deduplicated_ = 0;
    std::uint64_t lateAnswers_ = 0;
    std::uint64_t mismatched_ = 0;
};

/// Result of a query for a key.
struct KeyStatus {
    enum class State {
        NotFound,
        InProgress,
        Answered,
        Unknown,
        /// Another incarnation owns the key and may have its answer.
        OwnedByOther,
    };
    State state_ = State::NotFound;
    std::shared_ptr<const RoutedAnswer> answer_;
    std::optional<InstanceIncarnation> owner_;
};

/// Schedules the requests of one traffic thread. Does no I/O and reads no clock: events and times go in, commands come out.
class RequestDispatcher
{
public:
    explicit RequestDispatcher(RequestDispatcherOptions options);

    /// Handles an event and returns the commands to execute, in order.
    [[nodiscard]] auto handle(RoutingEvent event, EventTime now) -> RoutingCommands;

    /// Status of a key from the state of this traffic thread.
    [[nodiscard]] auto status(const std::string &key, WallTime now) -> KeyStatus;

    /// Keeps only intents of keys for which the filter returns true.
    auto setKeyFilter(std::function<bool(const std::string &)> filter) -> void;

    /// Number of callers that wait for an answer.
    [[nodiscard]] auto waitingCallers() const -> std::size_t;

    /// Number of requests in any stage, late exchanges included.
    [[nodiscard]] auto openRequests() const -> std::size_t;

    [[nodiscard]] auto counters() const -> const RoutingCounters &;

    /// The targets with their load and health.
    [[nodiscard]] auto pool() const -> const TargetPool &;

private:
    enum class Stage {
        AwaitingIntent,
        Queued,
        Sent,
        /// The caller was answered at its deadline; the exchange is still open.
        Late,
        Forwarded,
        /// Waits for the answer of the request in progress for the same key.
        Coalesced,
    };

    struct ActiveRequest {
        TeamId team_;
        PriorityClass priority_ = PriorityClass::Normal;
        std::string key_;
        bool idempotent_ = true;
        SteadyTime deadline_;
        Stage stage_ = Stage::Queued;
        TargetId target_;
        std::vector<TargetId> triedTargets_;
        int attempts_ = 0;
        bool mayHaveReachedTarget_ = false;
    };

    /// Which incarnation may execute the request of a key.
    enum class ExecutionRight {
        Local,
        /// Decided by the log, once the intent of this instance is read back.
        NeedsIntent,
        Remote,
    };
    struct KeyDecision {
        ExecutionRight right_ = ExecutionRight::Local;
        InstanceIncarnation owner_;
    };

    auto on(RequestArrived &event) -> void;
    auto on(TargetAnswered &event) -> void;
    auto on(TargetFailed &event) -> void;
    auto on(IntentAppendFailed &event) -> void;
    auto on(IntentsRead &event) -> void;
    auto on(ForwardAnswered &event) -> void;
    auto on(TargetsChanged &event) -> void;
    auto on(RoutingRulesChanged &event) -> void;
    auto on(TargetLeaving &event) -> void;
    auto on(RoutingDrainStarted &event) -> void;
    auto on(RoutingTick &event) -> void;

    [[nodiscard]] auto handleKnownKey(const RequestArrived &event) -> bool;
    [[nodiscard]] auto decideKey(const std::string &key) const -> Result<KeyDecision>;
    [[nodiscard]] auto decideCallerKey(const std::string &key) const -> Result<KeyDecision>;
    [[nodiscard]] auto admissionError(const RequestArrived &event) const -> std::optional<Error>;
    auto forward(const RequestArrived &event, const InstanceIncarnation &owner) -> void;
    auto admit(const RequestArrived &event, ExecutionRight right) -> void;
    auto resolveIntent(const std::string &key) -> void;
    auto coalesce(const RequestArrived &event, IdempotencyEntry &entry) -> void;
    auto dispatchOrQueue(RequestNumber number, ActiveRequest &active) -> void;
    [[nodiscard]] auto trySend(RequestNumber number, ActiveRequest &active) -> bool;
    auto dispatchQueued() -> void;
    auto retryOrFail(RequestNumber number, ActiveRequest &active, ExchangeOutcome outcome, const Error &error) -> void;
    auto onDeadline(RequestNumber number) -> void;
    auto finishNotRun(RequestNumber number, const Error &error) -> void;
    auto finishMaybeRan(RequestNumber number, const Error &cause) -> void;
    auto finishAnswered(RequestNumber number, RoutedAnswer answer) -> void;
    auto answerWaiting(const std::vector<RequestNumber> &waiting, const Result<RoutedAnswer> &result) -> void;
    auto answer(RequestNumber number, Result<RoutedAnswer> result) -> void;
    auto refuse(RequestNumber number, Error error) -> void;
    auto erase(RequestNumber number) -> void;
    [[nodiscard]] auto timeLeft(const ActiveRequest &active) const -> std::chrono::milliseconds;
    [[nodiscard]] auto cannotMeetDeadline(SteadyTime deadline, std::size_t queuedAhead) const -> bool;
    auto find(RequestNumber number) -> ActiveRequest *;

    RequestDispatcherOptions options_;
    RandomGenerator random_;
    TargetPool pool_;
    RequestQueues queues_;
    IdempotencyTable idempotencyTable_;
    IntentTable intents_;
    IssuedKeys issuedKeys_;
    RetryBudget retryBudget_;
    Deadlines deadlines_;
    std::unordered_map<RequestNumber, ActiveRequest> activeRequests_;
    RoutingCounters counters_;
    RuleSetPointer rules_;
    std::size_t waitingCallers_ = 0;
    bool draining_ = false;
    SteadyTime nextHousekeeping_;
    EventTime now_;
    RoutingCommands commands_;
};
} // namespace Marjoramfold
