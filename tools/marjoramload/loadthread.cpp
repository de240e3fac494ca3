#include "loadthread.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Marjoramfold
{
namespace
{
/// FNV-1a, the checksum that executors return.
auto checksumOf(std::string_view body) -> std::uint64_t
{
    std::uint64_t hash = 0xcbf29ce484222325;
    for (const auto c : body) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
    }
    return hash;
}

/// Executors count executions by the key in the first line when a request has no Idempotency-Key.
auto bodyOf(const std::string &key, std::size_t bytes) -> std::string
{
    auto body = "key=" + key + "\n";
    if (body.size() < bytes) {
        body.append(bytes - body.size(), 'x');
    }
    return body;
}

auto classify(const HttpClientResponse &response, const std::string &key, std::uint64_t checksum, std::string &errorKind) -> LoadOutcome
{
    const auto body = nlohmann::json::parse(response.body_, nullptr, false);
    if (response.status_ == 200) {
        const auto matches = body.is_object() && body.value("key", "") == key && body.value("checksum", std::uint64_t(0)) == checksum;
        return matches ? LoadOutcome::Answered : LoadOutcome::Mismatched;
    }
    const auto error = body.is_object() ? body.value("error", nlohmann::json::object()) : nlohmann::json::object();
    errorKind = error.is_object() ? error.value("kind", "status " + std::to_string(response.status_)) : "unreadable";
    return error.is_object() && error.value("ran", "maybe") == "no" ? LoadOutcome::NotRun : LoadOutcome::MaybeRan;
}
} // namespace

LoadThread::LoadThread(LoadOptions options)
    : options_(std::move(options))
    , client_(context_, HttpClientOptions{options_.connectionsPerEntry_, 1'024, std::chrono::milliseconds(1'000), std::size_t(16) << 20U})
    , timer_(context_)
    , random_(options_.seed_)
{
    std::vector<double> shares;
    for (const auto &each : options_.mix_) {
        shares.push_back(each.share_);
    }
    classes_ = std::discrete_distribution<int>(shares.begin(), shares.end());
    if (options_.rate_ > 0 && !options_.entries_.empty()) {
        streams_.push_back({false, options_.rate_, 0, std::chrono::nanoseconds(0)});
    }
    if (options_.directRate_ > 0 && !options_.directExecutors_.empty()) {
        // Offset by half an interval: a direct request due at the same time as one to an entry would be delayed by it.
        const std::chrono::duration<double> halfInterval(options_.rate_ > 0 ? 0.5 / options_.rate_ : 0);
        streams_.push_back({true, options_.directRate_, 0, std::chrono::duration_cast<std::chrono::nanoseconds>(halfInterval)});
    }
}

auto LoadThread::run() -> void
{
    const auto seconds = std::chrono::duration<double>(options_.duration_).count();
    samples_.reserve(std::min(options_.maxRequests_, static_cast<std::size_t>((options_.rate_ + options_.directRate_) * seconds) + 1));
    start_ = std::chrono::steady_clock::now();
    sendDue();
    context_.run();
    elapsed_ = std::chrono::steady_clock::now() - start_;
}

auto LoadThread::elapsed() const -> std::chrono::duration<double>
{
    return elapsed_;
}

auto LoadThread::samples() const -> const std::vector<LoadSample> &
{
    return samples_;
}

auto LoadThread::maxSendDelay() const -> std::chrono::microseconds
{
    return maxSendDelay_;
}

/// Sends all requests that are due and arms the timer for the next one.
auto LoadThread::sendDue() -> void
{
    const auto now = std::chrono::steady_clock::now();
    const auto end = start_ + options_.duration_;
    auto next = end;
    for (auto &stream : streams_) {
        auto intended = intendedTime(stream);
        while (intended <= now && intended < end && samples_.size() < options_.maxRequests_) {
            sendOne(stream, intended);
            ++stream.sent_;
            intended = intendedTime(stream);
        }
        next = std::min(next, intended);
    }
    if (next >= end || samples_.size() >= options_.maxRequests_) {
        sendingEnded_ = true;
        stopWhenDone();
        return;
    }
    timer_.expires_at(next);
    timer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            sendDue();
        }
    });
}

auto LoadThread::intendedTime(const Stream &stream) const -> TimePoint
{
    const std::chrono::duration<double> offset(static_cast<double>(stream.sent_) / stream.rate_);
    return start_ + stream.offset_ + std::chrono::duration_cast<std::chrono::nanoseconds>(offset);
}

auto LoadThread::sendOne(const Stream &stream, TimePoint intended) -> void
{
    const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - intended);
    maxSendDelay_ = std::max(maxSendDelay_, delay);
    const auto index = samples_.size();
    const auto classIndex = pickClass();
    const auto &loadClass = options_.mix_[static_cast<std::size_t>(classIndex)];
    LoadSample sample;
    sample.class_ = stream.direct_ ? -1 : classIndex;
    sample.idempotent_ = stream.direct_ || std::uniform_real_distribution<double>(0, 1)(random_) < loadClass.idempotentShare_;
    const auto unixSeconds = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    sample.key_ = std::to_string(unixSeconds) + "." + options_.keyPrefix_ + std::to_string(index);
    const auto needsIssuedKey = !sample.idempotent_ && loadClass.keySource_ == KeySource::Issued;
    samples_.push_back(std::move(sample));
    ++inFlight_;
    if (stream.direct_) {
        sendDirect(index, loadClass, intended);
    } else if (needsIssuedKey) {
        sendWithIssuedKey(index, loadClass, intended);
    } else {
        sendToEntry(index, loadClass, intended);
    }
}

auto LoadThread::sendWithIssuedKey(std::size_t index, const LoadClass &loadClass, TimePoint intended) -> void
{
    HttpClientRequest request{"POST", nextEntry(), "/v1/request-keys", {}, "", loadClass.deadline_ + options_.timeoutMargin_};
    client_.send(std::move(request), [this, index, &loadClass, intended](Result<HttpClientResponse> result) {
        const auto body = isOk(result) ? nlohmann::json::parse(valueOf(result).body_, nullptr, false) : nlohmann::json();
        auto &sample = samples_[index];
        if (!body.is_object() || !body.contains("key")) {
            sample.errorKind_ = "no_key_issued";
            finish(index, LoadOutcome::NotRun, intended);
            return;
        }
        sample.key_ = body.value("key", "");
        sendToEntry(index, loadClass, intended);
    });
}

auto LoadThread::sendToEntry(std::size_t index, const LoadClass &loadClass, TimePoint intended) -> void
{
    const auto &sample = samples_[index];
    HttpClientRequest request{
        "POST", nextEntry(), "/v1/requests", {}, bodyOf(sample.key_, loadClass.bodyBytes_), loadClass.deadline_ + options_.timeoutMargin_};
    request.headers_ = {{"Content-Type", "application/octet-stream"},
                        {"X-Team", loadClass.team_},
                        {"X-Priority", loadClass.priority_},
                        {"X-Deadline-Ms", std::to_string(loadClass.deadline_.count())}};
    if (!sample.idempotent_) {
        request.headers_.push_back({"X-Idempotent", "false"});
        request.headers_.push_back({"Idempotency-Key", sample.key_});
    }
    const auto checksum = checksumOf(request.body_);
    send(std::move(request), index, checksum, intended);
}

auto LoadThread::sendDirect(std::size_t index, const LoadClass &loadClass, TimePoint intended) -> void
{
    const auto &sample = samples_[index];
    const auto &address = options_.directExecutors_[nextAddress_++ % options_.directExecutors_.size()];
    HttpClientRequest request{"POST", address, "/v1/execute", {}, bodyOf(sample.key_, loadClass.bodyBytes_), loadClass.deadline_ + options_.timeoutMargin_};
    request.headers_ = {{"Content-Type", "application/octet-stream"}, {"X-Correlation-Id", sample.key_}};
    const auto checksum = checksumOf(request.body_);
    send(std::move(request), index, checksum, intended);
}

auto LoadThread::send(HttpClientRequest request, std::size_t index, std::uint64_t checksum, TimePoint intended) -> void
{
    client_.send(std::move(request), [this, index, checksum, intended](Result<HttpClientResponse> result) {
        auto &sample = samples_[index];
        if (!isOk(result)) {
            const auto kind = errorOf(result).kind_;
            sample.errorKind_ = std::string(errorAnswer(kind).name_);
            finish(index, kind == ErrorKind::ConnectFailed ? LoadOutcome::NotRun : LoadOutcome::Lost, intended);
            return;
        }
        finish(index, classify(valueOf(result), sample.key_, checksum, sample.errorKind_), intended);
    });
}

auto LoadThread::finish(std::size_t index, LoadOutcome outcome, TimePoint intended) -> void
{
    auto &sample = samples_[index];
    sample.outcome_ = outcome;
    sample.latency_ = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - intended);
    --inFlight_;
    stopWhenDone();
}

auto LoadThread::stopWhenDone() -> void
{
    if (sendingEnded_ && inFlight_ == 0) {
        context_.stop();
    }
}

auto LoadThread::pickClass() -> int
{
    return classes_(random_);
}

auto LoadThread::nextEntry() -> const std::string &
{
    return options_.entries_[nextAddress_++ % options_.entries_.size()];
}
} // namespace Marjoramfold
