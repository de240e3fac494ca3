#include "executor.h"

#include <asio/post.hpp>

#include <charconv>

namespace Marjoramfold
{
namespace
{
/// Deadline of a request without X-Deadline-Ms.
constexpr std::chrono::milliseconds DefaultDeadline{60'000};

auto refusal(const char *header, const std::string &correlation) -> RawAnswer
{
    constexpr int ServiceUnavailable = 503;
    return {ServiceUnavailable, {{header, "true"}, {"X-Correlation-Id", correlation}}, R"({"refused":true})", false, false, false};
}

auto headerOf(const RawRequest &request, std::string_view name) -> std::string
{
    return findHeader(request.headers_, name).value_or("");
}

auto deadlineOf(const RawRequest &request) -> std::chrono::steady_clock::time_point
{
    const auto text = headerOf(request, "X-Deadline-Ms");
    std::int64_t milliseconds = DefaultDeadline.count();
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    return std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
}

/// Key under which a request is counted: its Idempotency-Key, else the rest of a first body line "key=KEY".
auto accountKeyOf(const RawRequest &request) -> std::string
{
    constexpr std::string_view KeyPrefix = "key=";
    auto key = headerOf(request, "Idempotency-Key");
    if (key.empty() && request.body_.starts_with(KeyPrefix)) {
        key = request.body_.substr(KeyPrefix.size(), request.body_.find('\n') - KeyPrefix.size());
    }
    return key;
}

/// FNV-1a hash, by which a caller checks that the answer belongs to its own request body.
auto checksum(std::string_view body) -> std::uint64_t
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const auto c : body) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    }
    return hash;
}
} // namespace

Executor::Executor(asio::io_context &context, ExecutorOptions options)
    : context_(context)
    , options_(std::move(options))
    , random_(options_.seed_)
    , server_(context, options_.address_, options_.port_, [this](RawRequest request, std::size_t openConnections, RawResponder respond) {
        handle(std::move(request), openConnections, std::move(respond));
    })
{
}

auto Executor::port() const -> std::uint16_t
{
    return server_.port();
}

auto Executor::isLeaving() const -> bool
{
    return faults_.leaving_;
}

auto Executor::handle(RawRequest request, std::size_t openConnections, RawResponder respond) -> void
{
    const auto path = std::string(pathOf(request.target_));
    if (path == "/v1/execute" && request.method_ == "POST") {
        if (faults_.leaving_) {
            respond(refusal("X-Leaving", headerOf(request, "X-Correlation-Id")));
        } else if (openConnections > options_.maxConnections_) {
            auto answer = refusal("X-Not-Run", headerOf(request, "X-Correlation-Id"));
            answer.close_ = true;
            respond(std::move(answer));
        } else {
            enqueue(std::move(request), std::move(respond));
        }
    } else if (path == "/v1/account" && request.method_ == "GET") {
        respond({200, {}, account(), false, false, false});
    } else if (path == "/v1/faults" && request.method_ == "POST") {
        const auto body = nlohmann::json::parse(request.body_, nullptr, false);
        if (!body.is_object()) {
            respond({400, {}, R"({"error":"the body must be a JSON object"})", false, false, false});
            return;
        }
        applyFaults(body, faults_);
        respond({200, {}, "{}", false, false, false});
    } else {
        respond({404, {}, "{}", false, false, false});
    }
}

auto Executor::enqueue(RawRequest request, RawResponder respond) -> void
{
    const auto deadline = deadlineOf(request);
    waiting_.push_back({std::move(request), std::move(respond), deadline});
    startNext();
}

auto Executor::startNext() -> void
{
    while (busy_ < options_.slots_ && !waiting_.empty()) {
        auto execution = std::move(waiting_.front());
        waiting_.pop_front();
        if (execution.deadline_ < std::chrono::steady_clock::now()) {
            execution.respond_(refusal("X-Not-Run", headerOf(execution.request_, "X-Correlation-Id")));
            continue;
        }
        execute(std::move(execution));
    }
}

auto Executor::execute(Execution execution) -> void
{
    ++busy_;
    ++total_;
    const auto key = accountKeyOf(execution.request_);
    if (!key.empty()) {
        ++executions_[key];
    }
    const auto work = options_.work_ + faults_.addedWorkTime_;
    if (work.count() == 0) {
        finish(std::move(execution));
        return;
    }
    auto delayed = std::make_shared<Execution>(std::move(execution));
    after(work, [this, delayed] {
        finish(std::move(*delayed));
        startNext();
    });
}

auto Executor::finish(Execution execution) -> void
{
    --busy_;
    auto answer = answerOf(execution.request_);
    if (chance(faults_.noAnswer_)) {
        // Keeping the responder keeps the connection open.
        auto unanswered = std::make_shared<Execution>(std::move(execution));
        after(std::chrono::minutes(5), [unanswered] {});
        return;
    }
    if (chance(faults_.late_)) {
        auto delayed = std::make_shared<Execution>(std::move(execution));
        after(faults_.lateDelay_, [this, delayed, answer] {
            reply(std::move(*delayed), answer);
        });
        return;
    }
    reply(std::move(execution), std::move(answer));
}

auto Executor::reply(Execution execution, RawAnswer answer) -> void
{
    if (chance(faults_.failing_)) {
        answer.status_ = 500;
    }
    if (chance(faults_.crossed_) && earlierAnswer_) {
        std::swap(answer, *earlierAnswer_);
    } else {
        earlierAnswer_ = answer;
    }
    answer.truncated_ = chance(faults_.truncated_);
    answer.dropped_ = chance(faults_.closed_);
    execution.respond_(std::move(answer));
}

auto Executor::after(std::chrono::microseconds delay, std::function<void()> action) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, action = std::move(action)](const std::error_code &error) {
        if (!error) {
            action();
        }
    });
}

auto Executor::answerOf(const RawRequest &request) const -> RawAnswer
{
    const nlohmann::json body = {
        {"target", options_.id_}, {"key", accountKeyOf(request)}, {"bytes", request.body_.size()}, {"checksum", checksum(request.body_)}};
    return {200,
            {{"X-Correlation-Id", headerOf(request, "X-Correlation-Id")}},
            body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
            false,
            false,
            false};
}

auto Executor::account() const -> std::string
{
    return nlohmann::json{{"id", options_.id_}, {"total", total_}, {"executions", executions_}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto Executor::chance(double probability) -> bool
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}
} // namespace Marjoramfold
