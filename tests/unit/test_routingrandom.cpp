#include "routingharness.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

using namespace Marjoramfold;

namespace
{
/// Several instances that share one log, with targets whose exchanges fail at random points.
class RandomCluster
{
public:
    explicit RandomCluster(std::uint64_t seed)
        : random_(seed)
    {
        for (auto i = 0; i < InstanceCount; ++i) {
            instances_.push_back(std::make_unique<RoutingHarness>("entry-" + std::to_string(i), seed + static_cast<std::uint64_t>(i)));
            instances_.back()->start();
            readUpTo_.push_back(0);
        }
        for (auto i = 0; i < KeyCount; ++i) {
            const auto issuer = random_() % InstanceCount;
            const InstanceIncarnation self{InstanceId("entry-" + std::to_string(issuer)), 1};
            const auto issued = IssuedKeys({"secret"}).issue({self, instances_.front()->now_.wall_ + std::chrono::hours(1)}, static_cast<std::uint64_t>(i));
            keys_.push_back(chance(0.5) ? issued : instances_.front()->callerKey("k" + std::to_string(i)));
        }
    }

    auto run(int steps) -> void
    {
        for (auto i = 0; i < steps; ++i) {
            step();
        }
        // The log is available again, and every open exchange and deadline ends.
        logUp_ = true;
        for (auto i = 0; i < 400; ++i) {
            deliver();
        }
    }

    auto check() const -> void
    {
        for (const auto &[key, count] : executions_) {
            INFO("key " << key);
            CHECK(count <= 1);
        }
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            for (const auto &[number, result] : instances_[i]->answers_) {
                checkAnswer(i, number, result);
            }
            // Every caller was answered.
            CHECK(instances_[i]->dispatcher_.waitingCallers() == 0);
            CHECK(instances_[i]->answers_.size() == requestedInstances_.count(i));
        }
    }

    [[nodiscard]] auto executed() const -> std::size_t
    {
        return executions_.size();
    }

    [[nodiscard]] auto answered(Ran ran) const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto &instance : instances_) {
            for (const auto &[number, result] : instance->answers_) {
                count += instance->ranOf(number) == ran ? 1 : 0;
            }
        }
        return count;
    }

private:
    static constexpr int InstanceCount = 3;
    static constexpr int KeyCount = 60;

    /// A message in transit: an answer of a target, a record, or a forwarded request.
    struct Pending {
        int dueIn_ = 0;
        std::function<void()> deliver_;
    };

    auto checkAnswer(std::size_t instance, RequestNumber number, const Result<RoutedAnswer> &result) const -> void
    {
        const auto key = keyOf_.at({instance, number});
        INFO("instance " << instance << " request " << number << " key " << key);
        if (isOk(result)) {
            CHECK(valueOf(result).body_ == key);
        } else if (errorAnswer(errorOf(result).kind_).ran_ == Ran::No) {
            CHECK_FALSE(executedBy_.contains({instance, number}));
        }
    }

    [[nodiscard]] auto chance(double share) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }

    auto step() -> void
    {
        if (chance(0.01)) {
            logUp_ = !logUp_;
        }
        if (chance(0.4)) {
            const auto instance = random_() % InstanceCount;
            request(instance, keys_[random_() % keys_.size()], false);
        }
        deliver();
    }

    auto request(std::size_t instance, const std::string &key, bool forwarded) -> RequestNumber
    {
        const auto number = nextNumber_++;
        RequestArrived event;
        event.number_ = number;
        event.team_ = TeamId("planners");
        event.key_ = key;
        event.idempotent_ = false;
        event.forwarded_ = forwarded;
        event.deadline_ = instances_[instance]->now_.steady_ + std::chrono::milliseconds(20 + random_() % 300);
        requestedInstances_.insert(instance);
        keyOf_[{instance, number}] = key;
        instances_[instance]->handle(std::move(event));
        return number;
    }

    auto deliver() -> void
    {
        for (std::size_t i = 0; i < instances_.size(); ++i) {
            instances_[i]->advance(std::chrono::milliseconds(5));
            executeCommands(i);
            if (logUp_ && chance(0.3)) {
                readLog(i);
            }
        }
        std::vector<std::function<void()>> due;
        std::erase_if(pending_, [&due](Pending &each) {
            if (--each.dueIn_ > 0) {
                return false;
            }
            due.push_back(std::move(each.deliver_));
            return true;
        });
        for (const auto &action : due) {
            action();
        }
    }

    auto schedule(std::function<void()> action) -> void
    {
        pending_.push_back({static_cast<int>(1 + random_() % 30), std::move(action)});
    }

    /// Executes the commands of an instance: appends, forwards and sends.
    auto executeCommands(std::size_t i) -> void
    {
        auto &instance = *instances_[i];
        for (const auto &append : std::exchange(instance.appends_, {})) {
            appendIntent(i, append);
        }
        for (const auto &forward : std::exchange(instance.forwards_, {})) {
            forwardRequest(i, forward);
        }
        while (const auto send = instance.popSend()) {
            execute(i, *send);
        }
    }

    auto appendIntent(std::size_t i, const AppendIntent &append) -> void
    {
        if (!logUp_) {
            schedule([this, i, append] {
                instances_[i]->handle(IntentAppendFailed{append.number_, {ErrorKind::LogUnavailable, "outage", std::nullopt}});
            });
            return;
        }
        if (chance(0.1)) {
            // The append is lost before it takes effect, without a reply to the instance.
            return;
        }
        schedule([this, i, append] {
            log_.push_back({append.key_, {InstanceId("entry-" + std::to_string(i)), 1}});
            if (chance(0.1)) {
                // A delayed duplicate of the append takes effect as well.
                log_.push_back(log_.back());
            }
        });
    }

    auto readLog(std::size_t i) -> void
    {
        while (readUpTo_[i] < log_.size() && chance(0.8)) {
            const auto &[key, writer] = log_[readUpTo_[i]++];
            instances_[i]->readIntent(key, writer);
        }
    }

    auto forwardRequest(std::size_t i, const ForwardToInstance &forward) -> void
    {
        const auto key = keyOf_.at({i, forward.number_});
        const auto owner = static_cast<std::size_t>(forward.instance_.instance_.value().back() - '0');
        if (chance(0.2)) {
            schedule([this, i, forward] {
                instances_[i]->handle(ForwardAnswered{forward.number_, Error{ErrorKind::MaybeRan, "owner not reached", std::nullopt}});
            });
            return;
        }
        schedule([this, i, forward, owner, key] {
            const auto number = request(owner, key, true);
            relayAnswer(i, forward.number_, owner, number);
        });
    }

    /// Polls for the owner's answer to a forwarded request and returns it to the sender.
    auto relayAnswer(std::size_t i, RequestNumber asked, std::size_t owner, RequestNumber number) -> void
    {
        schedule([this, i, asked, owner, number] {
            const auto found = instances_[owner]->answers_.find(number);
            if (found == instances_[owner]->answers_.end()) {
                relayAnswer(i, asked, owner, number);
                return;
            }
            instances_[i]->handle(ForwardAnswered{asked, found->second});
        });
    }

    auto execute(std::size_t i, const SendToTarget &send) -> void
    {
        const auto point = random_() % 6;
        const auto key = keyOf_.at({i, send.number_});
        if (point == 0) {
            schedule([this, i, send] {
                instances_[i]->answerFailed(send, ExchangeOutcome::NotSent, ErrorKind::ConnectFailed);
            });
            return;
        }
        if (point == 1) {
            schedule([this, i, send] {
                instances_[i]->answerFailed(send, ExchangeOutcome::Refused);
            });
            return;
        }
        schedule([this, i, send, key, point] {
            ++executions_[key];
            executedBy_.insert({i, send.number_});
            schedule([this, i, send, key, point] {
                if (point == 2) {
                    instances_[i]->answerFailed(send, ExchangeOutcome::Failed, ErrorKind::AnswerMismatch);
                } else {
                    instances_[i]->answerOk(send, key);
                }
            });
        });
    }

    RandomGenerator random_;
    std::vector<std::unique_ptr<RoutingHarness>> instances_;
    std::vector<std::size_t> readUpTo_;
    std::vector<std::pair<std::string, InstanceIncarnation>> log_;
    bool logUp_ = true;
    std::vector<std::string> keys_;
    std::vector<Pending> pending_;
    std::map<std::pair<std::size_t, RequestNumber>, std::string> keyOf_;
    std::multiset<std::size_t> requestedInstances_;
    std::map<std::string, int> executions_;
    std::set<std::pair<std::size_t, RequestNumber>> executedBy_;
    RequestNumber nextNumber_ = 1;
};
} // namespace

SCENARIO("a request runs at most once with several instances, log outages and lost answers", "[routing]")
{
    std::size_t executed = 0;
    std::size_t answered = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        RandomCluster cluster(seed);
        cluster.run(400);
        cluster.check();
        executed += cluster.executed();
        answered += cluster.answered(Ran::Yes);
        refused += cluster.answered(Ran::No);
    }
    // Guards against a simulation in which few requests run or none are refused.
    CHECK(executed > 1'000);
    CHECK(answered > 1'000);
    CHECK(refused > 100);
}
