#pragma once

#include "marjoramfold/routing/requestdispatcher.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Wall clock time at which the tests start.
constexpr std::int64_t TestUnixSeconds = 1'800'000'000;

/// A dispatcher with a simulated clock that records its commands.
class RoutingHarness
{
public:
    explicit RoutingHarness(const std::string &id = "entry-1", std::uint64_t seed = 1, std::uint64_t incarnation = 1)
        : dispatcher_(options(id, seed, incarnation))
    {
        now_.wall_ = WallTime(std::chrono::seconds(TestUnixSeconds));
        now_.steady_ = SteadyTime(std::chrono::hours(1));
    }

    static auto options(const std::string &id, std::uint64_t seed, std::uint64_t incarnation) -> RequestDispatcherOptions
    {
        RequestDispatcherOptions options;
        options.self_ = {InstanceId(id), incarnation};
        options.pool_.ownZone_ = AvailabilityZoneId("cluj-a");
        options.keySecrets_ = {"secret"};
        options.seed_ = seed;
        return options;
    }

    /// Sends the dispatcher empty rules, targets in its own availability zone, and the start of the log at offset 0.
    auto start(int targets = 3) -> void
    {
        handle(RoutingRulesChanged{std::make_shared<RuleSet>()});
        handle(TargetsChanged{list(targets)});
        handle(IntentsRead{std::make_shared<IntentPage>(IntentPage{true, 0, {}})});
    }

    [[nodiscard]] auto list(int targets, const std::string &zone = "cluj-a") const -> TargetListPointer
    {
        auto result = std::make_shared<TargetList>();
        result->asOf_ = now_.wall_;
        for (auto i = 0; i < targets; ++i) {
            const auto id = "t" + std::to_string(i);
            result->targets_.push_back({TargetId(id), AvailabilityZoneId(zone), id + ":80", false});
        }
        return result;
    }

    auto handle(RoutingEvent event) -> void
    {
        for (auto &command : dispatcher_.handle(std::move(event), now_)) {
            if (auto *send = std::get_if<SendToTarget>(&command)) {
                sends_.push_back(*send);
            } else if (auto *append = std::get_if<AppendIntent>(&command)) {
                appends_.push_back(*append);
            } else if (auto *forward = std::get_if<ForwardToInstance>(&command)) {
                forwards_.push_back(*forward);
            } else if (auto *answer = std::get_if<AnswerCaller>(&command)) {
                // Every caller is answered exactly once.
                REQUIRE(answers_.emplace(answer->number_, std::move(answer->result_)).second);
            }
        }
    }

    auto arrive(RequestNumber number, const std::string &key, bool idempotent, std::chrono::milliseconds deadline = std::chrono::seconds(1)) -> void
    {
        RequestArrived event;
        event.number_ = number;
        event.team_ = TeamId("planners");
        event.key_ = key;
        event.idempotent_ = idempotent;
        event.deadline_ = now_.steady_ + deadline;
        handle(std::move(event));
    }

    /// Advances the clock in steps of 5 ms, as the router's timer does.
    auto advance(std::chrono::milliseconds time) -> void
    {
        constexpr std::chrono::milliseconds Step{5};
        for (auto passed = std::chrono::milliseconds(0); passed < time; passed += Step) {
            now_.steady_ += Step;
            now_.wall_ += Step;
            handle(RoutingTick{});
        }
    }

    /// Removes and returns the oldest recorded send.
    auto popSend() -> std::optional<SendToTarget>
    {
        if (sends_.empty()) {
            return std::nullopt;
        }
        const auto send = sends_.front();
        sends_.erase(sends_.begin());
        return send;
    }

    auto answerOk(const SendToTarget &send, const std::string &body = "done") -> void
    {
        handle(TargetAnswered{send.number_, {200, body, "text/plain", send.target_}, std::chrono::milliseconds(1)});
    }

    auto answerFailed(const SendToTarget &send, ExchangeOutcome outcome, ErrorKind kind = ErrorKind::TargetFailed) -> void
    {
        handle(TargetFailed{send.number_, outcome, {kind, "fault", std::nullopt}});
    }

    /// Delivers an intent as read from the log.
    auto readIntent(const std::string &key, const InstanceIncarnation &writer) -> void
    {
        IntentPage page;
        page.records_.push_back(
            {nextOffset_++, now_.wall_, IntentBatchRecord{RecordId("r" + std::to_string(nextOffset_)), writer.instance_, {makeIntent(key, writer)}}});
        handle(IntentsRead{std::make_shared<IntentPage>(page)});
    }

    /// Whether an answered request ran, according to its answer.
    [[nodiscard]] auto ranOf(RequestNumber number) const -> Ran
    {
        const auto &result = answers_.at(number);
        return isOk(result) ? Ran::Yes : errorAnswer(errorOf(result).kind_).ran_;
    }

    [[nodiscard]] auto kindOf(RequestNumber number) const -> ErrorKind
    {
        return errorOf(answers_.at(number)).kind_;
    }

    [[nodiscard]] auto self() const -> InstanceIncarnation
    {
        return {InstanceId("entry-1"), 1};
    }

    [[nodiscard]] auto callerKey(const std::string &name, std::int64_t age = 0) const -> std::string
    {
        return std::to_string(TestUnixSeconds - age) + "." + name;
    }

    EventTime now_;
    RequestDispatcher dispatcher_;
    std::vector<SendToTarget> sends_;
    std::vector<AppendIntent> appends_;
    std::vector<ForwardToInstance> forwards_;
    std::map<RequestNumber, Result<RoutedAnswer>> answers_;
    Offset nextOffset_ = 0;
};
} // namespace Marjoramfold
