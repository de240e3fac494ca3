#include "marjoramfold/routing/router.h"

#include <asio/post.hpp>

#include <utility>

namespace Marjoramfold
{
namespace
{
/// Interval of deadline checks while requests are open.
constexpr std::chrono::milliseconds BusyTickInterval{5};

/// Interval of removing expired answers and keys while no request is open.
constexpr std::chrono::milliseconds IdleTickInterval{100};

auto fingerprintOf(const RoutedRequest &request) -> std::uint64_t
{
    const auto team = std::hash<std::string>()(request.team_.value());
    const auto body = std::hash<std::string>()(request.body_);
    // Odd, so that equal hashes of team and body do not cancel out.
    constexpr std::uint64_t HashMultiplier = 0x9E3779B97F4A7C15;
    return team * HashMultiplier ^ body;
}
} // namespace

Router::Router(asio::io_context &context, RouterOptions options, RouterHooks hooks)
    : context_(context)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
    , dispatcher_(options_.dispatcher_)
    , targets_(context, options_.http_)
    , timer_(context)
    , alive_(std::make_shared<Router *>(this))
{
    const auto &self = options_.dispatcher_.self_;
    correlationPrefix_ = self.instance_.value() + "/" + std::to_string(self.incarnation_) + "/" + std::to_string(options_.threadIndex_) + "/";
    armTimer();
}

Router::~Router()
{
    *alive_ = nullptr;
}

auto Router::submit(RoutedRequest request, AnswerCallback callback) -> void
{
    const auto number = nextNumber_++;
    const auto arrival = now();
    RequestArrived event;
    event.number_ = number;
    event.team_ = request.team_;
    event.priority_ = request.priority_;
    event.key_ = request.key_;
    event.fingerprint_ = request.key_.empty() ? 0 : fingerprintOf(request);
    event.idempotent_ = request.idempotent_;
    event.forwarded_ = request.forwarded_;
    event.deadline_ = arrival.steady_ + request.timeLeft_;
    open_.emplace(number, OpenRequest{std::move(request), std::move(callback)});
    handle(std::move(event));
}

auto Router::queryKey(const std::string &key, bool forwarded, KeyStatusCallback callback) -> void
{
    auto status = dispatcher_.status(key, now().wall_);
    if (status.state_ == KeyStatus::State::OwnedByOther && !forwarded && hooks_.forwardQuery_) {
        hooks_.forwardQuery_(*status.owner_, key, std::move(callback));
        return;
    }
    callback(std::move(status));
}

auto Router::apply(RoutingEvent event) -> void
{
    handle(std::move(event));
}

auto Router::drain(std::function<void()> drained) -> void
{
    drained_ = std::move(drained);
    handle(RoutingDrainStarted{});
}

auto Router::setKeyFilter(std::function<bool(const std::string &)> filter) -> void
{
    dispatcher_.setKeyFilter(std::move(filter));
}

auto Router::gauges() const -> const RouterGauges &
{
    return gauges_;
}

auto Router::context() -> asio::io_context &
{
    return context_;
}

auto Router::now() const -> EventTime
{
    return {options_.clock_.steadyNow_(), options_.clock_.wallNow_()};
}

auto Router::handle(RoutingEvent event) -> void
{
    auto commands = dispatcher_.handle(std::move(event), now());
    for (auto &command : commands) {
        std::visit(
            [this](auto &specific) {
                run(specific);
            },
            command);
    }
    publishGauges();
    if (drained_ && dispatcher_.waitingCallers() == 0) {
        std::exchange(drained_, nullptr)();
    }
}

auto Router::run(SendToTarget &command) -> void
{
    const auto &request = open_.at(command.number_).request_;
    TargetCall call;
    call.address_ = std::move(command.address_);
    call.correlationId_ = nextCorrelationId();
    call.key_ = request.key_;
    call.body_ = request.body_;
    call.contentType_ = request.contentType_;
    call.traceParent_ = request.traceParent_;
    call.timeLeft_ = command.timeLeft_;
    call.timeout_ = command.timeout_;
    const auto start = options_.clock_.steadyNow_();
    // Capturing this is safe: the client is a member and drops its callbacks when it is destroyed.
    targets_.execute(std::move(call), [this, number = command.number_, target = command.target_, start](std::variant<RoutedAnswer, TargetFailure> result) {
        if (auto *failure = std::get_if<TargetFailure>(&result)) {
            if (failure->outcome_ == ExchangeOutcome::RefusedLeaving && hooks_.targetLeaving_) {
                hooks_.targetLeaving_(target);
            }
            handle(TargetFailed{number, failure->outcome_, std::move(failure->error_)});
            return;
        }
        auto &answer = std::get<RoutedAnswer>(result);
        answer.target_ = target;
        const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(options_.clock_.steadyNow_() - start);
        handle(TargetAnswered{number, std::move(answer), latency});
    });
}

auto Router::run(AppendIntent &command) -> void
{
    const auto number = command.number_;
    const auto makeFailure = [number](std::string message) {
        return IntentAppendFailed{number, {ErrorKind::LogUnavailable, std::move(message), std::chrono::seconds(1)}};
    };
    if (!hooks_.appendIntent_) {
        asio::post(context_, [alive = alive_, event = makeFailure("this instance has no log to append the intent to")] {
            if (*alive != nullptr) {
                (*alive)->handle(event);
            }
        });
        return;
    }
    hooks_.appendIntent_(std::move(command.key_), [alive = alive_, &context = context_, makeFailure](Result<Success> result) {
        // Only this error proves that nothing was appended; after any other one the record may still be read.
        if (isOk(result) || errorOf(result).kind_ != ErrorKind::LogUnavailable) {
            return;
        }
        asio::post(context, [alive, event = makeFailure(errorOf(result).message_)] {
            if (*alive != nullptr) {
                (*alive)->handle(event);
            }
        });
    });
}

auto Router::run(ForwardToInstance &command) -> void
{
    const auto number = command.number_;
    const auto deliver = [alive = alive_, &context = context_, number](Result<RoutedAnswer> result) {
        asio::post(context, [alive, number, result = std::move(result)]() mutable {
            if (*alive != nullptr) {
                (*alive)->handle(ForwardAnswered{number, std::move(result)});
            }
        });
    };
    if (!hooks_.forwardRequest_) {
        deliver(Error{ErrorKind::MaybeRan, "another instance owns this key", std::nullopt});
        return;
    }
    auto request = open_.at(number).request_;
    request.timeLeft_ = command.timeLeft_;
    request.forwarded_ = true;
    hooks_.forwardRequest_(command.instance_, std::move(request), deliver);
}

auto Router::run(AnswerCaller &command) -> void
{
    auto callback = std::move(open_.at(command.number_).callback_);
    callback(std::move(command.result_));
}

auto Router::run(ReleaseRequest &command) -> void
{
    open_.erase(command.number_);
}

auto Router::armTimer() -> void
{
    timer_.expires_after(dispatcher_.openRequests() > 0 ? BusyTickInterval : IdleTickInterval);
    timer_.async_wait([this, alive = alive_](const std::error_code &error) {
        if (error || *alive == nullptr) {
            return;
        }
        handle(RoutingTick{});
        armTimer();
    });
}

auto Router::publishGauges() -> void
{
    const auto &counters = dispatcher_.counters();
    gauges_.received_.store(counters.received_, std::memory_order_relaxed);
    gauges_.sent_.store(counters.sent_, std::memory_order_relaxed);
    gauges_.retried_.store(counters.retried_, std::memory_order_relaxed);
    gauges_.answered_.store(counters.answered_, std::memory_order_relaxed);
    gauges_.refusedNotRun_.store(counters.refusedNotRun_, std::memory_order_relaxed);
    gauges_.maybeRan_.store(counters.maybeRan_, std::memory_order_relaxed);
    gauges_.deduplicated_.store(counters.deduplicated_, std::memory_order_relaxed);
    gauges_.lateAnswers_.store(counters.lateAnswers_, std::memory_order_relaxed);
    gauges_.mismatched_.store(counters.mismatched_, std::memory_order_relaxed);
    gauges_.waitingCallers_.store(dispatcher_.waitingCallers(), std::memory_order_relaxed);
}

auto Router::nextCorrelationId() -> std::string
{
    return correlationPrefix_ + std::to_string(nextCorrelation_++);
}
} // namespace Marjoramfold
