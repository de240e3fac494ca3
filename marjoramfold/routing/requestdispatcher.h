#pragma once

#include "marjoramfold/routing/deadlines.h"
#include "marjoramfold/routing/intenttable.h"
#include "marjoramfold/routing/issuedkeys.h"
#include "marjoramfold/routing/requestledger.h"
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
    RequestLedgerOptions ledger_;
    KeyWindow keyWindow_;
    /// Secrets of issued keys, the signing one first; empty refuses issued keys.
    std::vector<std::string> keySecrets_;
    /// How long an exchange may go on after the caller's deadline, for a late answer.
    std::chrono::milliseconds lateWait_{60'000};
    /// Targets tried at most for one request.
    int maxAttempts_ = 3;
    std::uint64_t seed_ = 1;
};

/// Counts of a dispatcher since its start.
struct RoutingCounters {
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    std::uint64_t retried_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refusedNotRun_ = 0;
    std::uint64_t maybeRan_ = 0;
    std::uint64_t joined_ = 0;
    std::uint64_t lateAnswers_ = 0;
    std::uint64_t mismatched_ = 0;
};

/// What is known of a key, for a query.
struct KeyStatus {
    enum class State {
        NotFound,
        InProgress,
        Answered,
        Unknown,
        /// Another incarnation owns the key and may know more.
        Elsewhere,
    };
    State state_ = State::NotFound;
    std::shared_ptr<const RoutedAnswer> answer_;
    std::optional<InstanceIncarnation> owner_;
};

/// Decides what happens to the requests of one traffic thread. Pure: events and times go in, commands come out.
class RequestDispatcher
{
public:
    explicit RequestDispatcher(RequestDispatcherOptions options);

    /// Handles an event.
    [[nodiscard]] auto handle(RoutingEvent event, Moment now) -> RoutingCommands;

    /// What is known of a key.
    [[nodiscard]] auto status(const std::string &key, WallTime now) -> KeyStatus;

    /// Only keys for which the filter is true have their intents kept here.
    auto setKeyFilter(std::function<bool(const std::string &)> filter) -> void;

    /// Requests whose caller waits for an answer.
    [[nodiscard]] auto waitingCallers() const -> std::size_t;

    /// Requests with any state, late exchanges included.
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
        /// Waits for the answer of the request that runs for the same key.
        Joined,
    };

    struct Active {
        TeamId team_;
        PriorityClass priority_ = PriorityClass::Normal;
        std::string key_;
        bool idempotent_ = true;
        SteadyTime deadline_;
        Stage stage_ = Stage::Queued;
        TargetId target_;
        std::vector<TargetId> tried_;
        int attempts_ = 0;
        /// True once bytes may have reached a target.
        bool anySent_ = false;
    };

    /// Who may run a key.
    enum class KeyRight {
        Here,
        NeedsIntent,
        Elsewhere,
    };
    struct KeyDecision {
        KeyRight right_ = KeyRight::Here;
        InstanceIncarnation owner_;
    };

    auto on(RequestArrived &event) -> void;
    auto on(TargetAnswered &event) -> void;
    auto on(TargetFailed &event) -> void;
    auto on(IntentRefused &event) -> void;
    auto on(IntentsRead &event) -> void;
    auto on(ForwardAnswered &event) -> void;
    auto on(TargetsChanged &event) -> void;
    auto on(RoutingRulesChanged &event) -> void;
    auto on(TargetLeaving &event) -> void;
    auto on(RoutingDrainStarted &event) -> void;
    auto on(RoutingTick &event) -> void;

    [[nodiscard]] auto tryLedger(const RequestArrived &event) -> bool;
    [[nodiscard]] auto decideKey(const std::string &key) const -> Result<KeyDecision>;
    [[nodiscard]] auto decideCallerKey(const std::string &key) const -> Result<KeyDecision>;
    [[nodiscard]] auto admissionError(const RequestArrived &event) const -> std::optional<Error>;
    auto forward(const RequestArrived &event, const InstanceIncarnation &owner) -> void;
    auto admit(const RequestArrived &event, KeyRight right) -> void;
    auto resolveIntent(const std::string &key) -> void;
    auto join(const RequestArrived &event, LedgerEntry &entry) -> void;
    auto dispatchOrQueue(RequestNumber number, Active &active) -> void;
    [[nodiscard]] auto trySend(RequestNumber number, Active &active) -> bool;
    auto pump() -> void;
    auto retryOrFail(RequestNumber number, Active &active, ExchangeOutcome outcome, const Error &error) -> void;
    auto onDeadline(RequestNumber number) -> void;
    auto finishNotRun(RequestNumber number, const Error &error) -> void;
    auto finishMaybeRan(RequestNumber number, const Error &cause) -> void;
    auto finishAnswered(RequestNumber number, RoutedAnswer answer) -> void;
    auto answerWaiting(const std::vector<RequestNumber> &waiting, const Result<RoutedAnswer> &result) -> void;
    auto answer(RequestNumber number, Result<RoutedAnswer> result) -> void;
    auto refuse(RequestNumber number, Error error) -> void;
    auto erase(RequestNumber number) -> void;
    [[nodiscard]] auto timeLeft(const Active &active) const -> std::chrono::milliseconds;
    [[nodiscard]] auto cannotMeet(SteadyTime deadline, std::size_t ahead) const -> bool;
    auto find(RequestNumber number) -> Active *;

    RequestDispatcherOptions options_;
    RandomGenerator random_;
    TargetPool pool_;
    RequestQueues queues_;
    RequestLedger ledger_;
    IntentTable intents_;
    IssuedKeys issuedKeys_;
    RetryBudget retryBudget_;
    Deadlines deadlines_;
    std::unordered_map<RequestNumber, Active> active_;
    RoutingCounters counters_;
    RuleSetPointer rules_;
    std::size_t waitingCallers_ = 0;
    bool draining_ = false;
    SteadyTime nextHousekeeping_;
    Moment now_;
    RoutingCommands commands_;
};
} // namespace Marjoramfold
