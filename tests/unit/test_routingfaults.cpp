#include "routingharness.h"

using namespace Marjoramfold;

namespace
{
/// Points at which an exchange with a target fails.
enum class FaultPoint {
    None,
    ConnectionRefused,
    LostBeforeExecution,
    LostAfterExecution,
    RefusedBusy,
    RefusedLeaving,
    AnswerToOtherRequest,
    AnswerTruncated,
    AnswerStatus500,
    NoAnswer,
    LateAnswer,
};

/// Executions by the target and outcome of one exchange; no outcome when the target does not answer in time.
struct TargetEffect {
    int executions_ = 0;
    std::optional<ExchangeOutcome> outcome_;
    ErrorKind kind_ = ErrorKind::TargetFailed;
};

auto effectOf(FaultPoint where) -> TargetEffect
{
    switch (where) {
    case FaultPoint::None:
        return {1, ExchangeOutcome::Answered};
    case FaultPoint::ConnectionRefused:
        return {0, ExchangeOutcome::NotSent, ErrorKind::ConnectFailed};
    case FaultPoint::LostBeforeExecution:
        return {0, ExchangeOutcome::Failed};
    case FaultPoint::LostAfterExecution:
        return {1, ExchangeOutcome::Failed};
    case FaultPoint::RefusedBusy:
        return {0, ExchangeOutcome::Refused};
    case FaultPoint::RefusedLeaving:
        return {0, ExchangeOutcome::RefusedLeaving};
    case FaultPoint::AnswerToOtherRequest:
        return {1, ExchangeOutcome::Failed, ErrorKind::AnswerMismatch};
    case FaultPoint::AnswerTruncated:
        return {1, ExchangeOutcome::Failed};
    case FaultPoint::AnswerStatus500:
        return {1, ExchangeOutcome::Failed};
    case FaultPoint::NoAnswer:
    case FaultPoint::LateAnswer:
        return {1, std::nullopt};
    }
    return {};
}

struct Row {
    const char *name_;
    FaultPoint faultPoint_;
    /// The fault occurs at every target, or at the first one only.
    bool atEveryTarget_;
    bool idempotent_;
    /// Expected answer and number of executions over all targets.
    Ran ran_;
    int executions_;
};

// After bytes were sent, idempotent requests are retried, since the retry budget is filled first; other requests never are.
constexpr Row Rows[] = {
    {"no fault, idempotent", FaultPoint::None, true, true, Ran::Yes, 1},
    {"no fault, non-idempotent", FaultPoint::None, true, false, Ran::Yes, 1},
    {"first connection refused, idempotent", FaultPoint::ConnectionRefused, false, true, Ran::Yes, 1},
    {"first connection refused, non-idempotent", FaultPoint::ConnectionRefused, false, false, Ran::Yes, 1},
    {"all connections refused, idempotent", FaultPoint::ConnectionRefused, true, true, Ran::No, 0},
    {"all connections refused, non-idempotent", FaultPoint::ConnectionRefused, true, false, Ran::No, 0},
    {"lost before execution, idempotent", FaultPoint::LostBeforeExecution, false, true, Ran::Yes, 1},
    {"lost before execution, non-idempotent", FaultPoint::LostBeforeExecution, false, false, Ran::Maybe, 0},
    {"lost after execution, idempotent", FaultPoint::LostAfterExecution, false, true, Ran::Yes, 2},
    {"lost after execution, non-idempotent", FaultPoint::LostAfterExecution, false, false, Ran::Maybe, 1},
    {"always lost after execution, idempotent", FaultPoint::LostAfterExecution, true, true, Ran::Maybe, 3},
    {"always lost after execution, non-idempotent", FaultPoint::LostAfterExecution, true, false, Ran::Maybe, 1},
    {"refused as busy, idempotent", FaultPoint::RefusedBusy, false, true, Ran::Yes, 1},
    {"refused as busy, non-idempotent", FaultPoint::RefusedBusy, false, false, Ran::Maybe, 0},
    {"refused as leaving, idempotent", FaultPoint::RefusedLeaving, false, true, Ran::Yes, 1},
    {"refused as leaving, non-idempotent", FaultPoint::RefusedLeaving, false, false, Ran::Maybe, 0},
    {"answer to another request, idempotent", FaultPoint::AnswerToOtherRequest, false, true, Ran::Yes, 2},
    {"answer to another request, non-idempotent", FaultPoint::AnswerToOtherRequest, false, false, Ran::Maybe, 1},
    {"answer truncated, idempotent", FaultPoint::AnswerTruncated, false, true, Ran::Yes, 2},
    {"answer truncated, non-idempotent", FaultPoint::AnswerTruncated, false, false, Ran::Maybe, 1},
    {"answer with status 500, idempotent", FaultPoint::AnswerStatus500, false, true, Ran::Yes, 2},
    {"answer with status 500, non-idempotent", FaultPoint::AnswerStatus500, false, false, Ran::Maybe, 1},
    {"no answer, idempotent", FaultPoint::NoAnswer, false, true, Ran::Maybe, 1},
    {"no answer, non-idempotent", FaultPoint::NoAnswer, false, false, Ran::Maybe, 1},
    {"late answer, idempotent", FaultPoint::LateAnswer, false, true, Ran::Maybe, 1},
    {"late answer, non-idempotent", FaultPoint::LateAnswer, false, false, Ran::Maybe, 1},
};

/// Sends enough requests without a fault that the retry budget allows three retries.
auto fillRetryBudget(RoutingHarness &harness) -> void
{
    constexpr RequestNumber First = 10'000;
    for (RequestNumber i = 0; i < 30; ++i) {
        harness.arrive(First + i, "", true);
        harness.answerOk(*harness.popSend());
    }
}

/// Applies the row's fault to the exchanges of the request until it is answered; returns the number of executions.
auto runExchanges(RoutingHarness &harness, const Row &row, std::vector<SendToTarget> &open) -> int
{
    auto executions = 0;
    auto isFirst = true;
    while (const auto send = harness.popSend()) {
        const auto effect = effectOf(isFirst || row.atEveryTarget_ ? row.faultPoint_ : FaultPoint::None);
        isFirst = false;
        executions += effect.executions_;
        if (!effect.outcome_) {
            open.push_back(*send);
            harness.advance(std::chrono::milliseconds(1'100));
        } else if (*effect.outcome_ == ExchangeOutcome::Answered) {
            harness.answerOk(*send);
        } else {
            harness.answerFailed(*send, *effect.outcome_, effect.kind_);
        }
    }
    return executions;
}
} // namespace

SCENARIO("the answer reports whether the request ran, at whichever point the exchange fails", "[routing]")
{
    for (const auto &row : Rows) {
        DYNAMIC_SECTION(row.name_)
        {
            RoutingHarness harness;
            harness.start();
            fillRetryBudget(harness);
            const auto key = harness.callerKey("k");
            harness.arrive(1, key, row.idempotent_);
            if (!row.idempotent_) {
                // Nothing is sent before the intent is read from the log.
                REQUIRE(harness.sends_.empty());
                harness.readIntent(key, harness.self());
            }
            std::vector<SendToTarget> open;
            CHECK(runExchanges(harness, row, open) == row.executions_);
            REQUIRE(harness.answers_.contains(1));
            CHECK(harness.ranOf(1) == row.ran_);

            // A duplicate of a non-idempotent request that may have run is never sent to a target.
            if (!row.idempotent_ && row.ran_ != Ran::No) {
                harness.arrive(2, key, false);
                CHECK(harness.sends_.empty());
                if (row.faultPoint_ == FaultPoint::LateAnswer) {
                    harness.answerOk(open.front());
                    CHECK(harness.ranOf(2) == Ran::Yes);
                    CHECK(harness.dispatcher_.status(key, harness.now_.wall_).state_ == KeyStatus::State::Answered);
                }
            }
            // A duplicate of a request that was refused with no byte sent is executed.
            if (row.ran_ == Ran::No) {
                harness.advance(std::chrono::seconds(31));
                harness.arrive(3, key, row.idempotent_);
                const auto send = harness.popSend();
                REQUIRE(send.has_value());
                harness.answerOk(*send);
                CHECK(harness.ranOf(3) == Ran::Yes);
            }
        }
    }
}

SCENARIO("a key can be used again when the connection is refused after the deadline", "[routing]")
{
    RoutingHarness harness;
    harness.start();
    const auto key = harness.callerKey("k");
    harness.arrive(1, key, false);
    harness.readIntent(key, harness.self());
    const auto send = harness.popSend();
    harness.advance(std::chrono::milliseconds(1'100));
    CHECK(harness.ranOf(1) == Ran::Maybe);
    harness.arrive(2, key, false);
    // The first request was answered at its deadline; the answer of the waiting duplicate reports that nothing ran.
    harness.answerFailed(*send, ExchangeOutcome::NotSent, ErrorKind::ConnectFailed);
    CHECK(harness.ranOf(2) == Ran::No);
    harness.arrive(3, key, false);
    CHECK(harness.sends_.size() == 1);
}

SCENARIO("a request that cannot run is refused and not sent", "[routing]")
{
    RoutingHarness harness;

    SECTION("no rules were loaded")
    {
        harness.handle(TargetsChanged{harness.list(1)});
        harness.arrive(1, "", true);
        CHECK(harness.kindOf(1) == ErrorKind::RulesNotLoaded);
    }

    SECTION("no target is known")
    {
        harness.start(0);
        harness.arrive(1, "", true);
        CHECK(harness.kindOf(1) == ErrorKind::NoTarget);
    }

    SECTION("the deadline has passed")
    {
        harness.start();
        harness.arrive(1, "", true, std::chrono::milliseconds(0));
        CHECK(harness.kindOf(1) == ErrorKind::DeadlineUnreachable);
    }

    SECTION("the deadline is shorter than the expected latency")
    {
        harness.start();
        harness.arrive(1, "", true);
        harness.handle(TargetAnswered{1, {}, std::chrono::milliseconds(300)});
        harness.sends_.clear();
        harness.arrive(2, "", true, std::chrono::milliseconds(100));
        CHECK(harness.kindOf(2) == ErrorKind::DeadlineUnreachable);
    }

    SECTION("no slot becomes free before the deadline")
    {
        harness.start(1);
        for (RequestNumber i = 1; i <= 5; ++i) {
            harness.arrive(i, "", true, std::chrono::seconds(i == 5 ? 1 : 60));
        }
        CHECK(harness.sends_.size() == 4);
        harness.advance(std::chrono::milliseconds(1'100));
        CHECK(harness.kindOf(5) == ErrorKind::DeadlineUnreachable);
        CHECK(harness.sends_.size() == 4);
    }

    SECTION("the instance is draining, and the request in progress completes")
    {
        harness.start();
        harness.arrive(1, "", true);
        harness.handle(RoutingDrainStarted{});
        harness.arrive(2, "", true);
        CHECK(harness.kindOf(2) == ErrorKind::Draining);
        CHECK(harness.dispatcher_.waitingCallers() == 1);
        harness.answerOk(*harness.popSend());
        CHECK(harness.ranOf(1) == Ran::Yes);
        CHECK(harness.dispatcher_.waitingCallers() == 0);
    }

    for (const auto &[number, answer] : harness.answers_) {
        CHECK((isOk(answer) || errorAnswer(errorOf(answer).kind_).ran_ == Ran::No));
    }
}

SCENARIO("retries are limited to a tenth of the received requests", "[routing]")
{
    RoutingHarness harness;
    harness.start();
    constexpr RequestNumber Requests = 1'000;
    for (RequestNumber i = 1; i <= Requests; ++i) {
        harness.arrive(i, "", true);
        while (const auto send = harness.popSend()) {
            // At least every second exchange fails, which would double the traffic without a retry budget.
            if (send->target_ == TargetId("t0") || i % 2 == 0) {
                harness.answerFailed(*send, ExchangeOutcome::Refused);
            } else {
                harness.answerOk(*send);
            }
        }
        harness.advance(std::chrono::milliseconds(100));
    }
    const auto &counters = harness.dispatcher_.counters();
    CHECK(counters.retried_ > 0);
    CHECK(static_cast<double>(counters.sent_) <= 1.1 * static_cast<double>(counters.received_));
}
