#include "standins/worker/workerserver.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace Marjoramfold::Standins
{
namespace
{
constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::chrono::milliseconds RegistrationInterval{1'000};

auto numberParameter(const HttpServerRequest &request, std::string_view name) -> std::uint64_t
{
    return std::strtoull(queryParameter(request.target_, name).value_or("0").c_str(), nullptr, 10);
}
} // namespace

WorkerServer::WorkerServer(asio::io_context &context, WorkerServerOptions options)
    : options_(std::move(options))
    , state_(options_.capacity_, options_.rack_, options_.usageLag_)
    , client_(context)
    , tickTimer_(context)
    , registrationTimer_(context)
    , server_(context, {options_.address_, options_.port_}, [this](const HttpServerRequest &request, HttpResponder respond) {
        handle(request, std::move(respond));
    })
{
}

auto WorkerServer::start() -> std::uint16_t
{
    port_ = server_.start();
    scheduleTick();
    registerWithPlatform();
    return port_;
}

auto WorkerServer::handle(const HttpServerRequest &request, HttpResponder respond) -> void
{
    const auto path = pathOf(request.target_);
    if (path == "/v1/commands") {
        handleCommands(request, std::move(respond));
    } else if (path == "/v1/inventory") {
        handleInventory(request, std::move(respond));
    } else if (path == "/v1/tasks") {
        // For tests: unlike an inventory query, this request has no epoch and fences no scheduler.
        const auto now = std::chrono::steady_clock::now();
        state_.advance(now);
        respond({200, {}, encodeInventory(state_.inventory(now))});
    } else if (path == "/v1/faults") {
        handleFaults(request, std::move(respond));
    } else {
        respond({404, {}, "{}"});
    }
}

auto WorkerServer::handleFaults(const HttpServerRequest &request, HttpResponder respond) -> void
{
    const auto json = nlohmann::json::parse(request.body_, nullptr, false);
    if (!json.is_object()) {
        respond({400, {}, "{}"});
        return;
    }
    state_.setFaults({json.value("fail_every_task", false), json.value("leaving", false)});
    respond({200, {}, "{}"});
}

auto WorkerServer::handleCommands(const HttpServerRequest &request, HttpResponder respond) -> void
{
    auto batch = decodeBatch(request.body_);
    if (!isOk(batch)) {
        respond({400, {}, toString(errorOf(batch)), "text/plain"});
        return;
    }
    if (!state_.acceptEpoch(valueOf(batch).epoch_)) {
        respond({409, {}, "{}"});
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    std::vector<WorkerCommandResult> results;
    for (const auto &command : valueOf(batch).commands_) {
        results.push_back(state_.handle(command, now));
    }
    // The response is sent after every stopped task has written its checkpoint.
    respondWhen(
        [this, results] {
            return std::none_of(results.begin(), results.end(), [this](const auto &result) {
                return result.kind_ == WorkerCommandKind::Stop && state_.isStopping(result.task_);
            });
        },
        SteadyTime::max(),
        [this, results, respond = std::move(respond)]() mutable {
            for (auto &result : results) {
                result.progress_ = state_.progressOf(result.task_);
            }
            respond({200, {}, encodeResults(results)});
        });
}

auto WorkerServer::handleInventory(const HttpServerRequest &request, HttpResponder respond) -> void
{
    const Epoch epoch{numberParameter(request, "epoch"), static_cast<std::uint32_t>(numberParameter(request, "rank"))};
    if (!state_.acceptEpoch(epoch)) {
        respond({409, {}, "{}"});
        return;
    }
    const auto after = numberParameter(request, "after");
    state_.removeEnded(after);
    const auto now = std::chrono::steady_clock::now();
    state_.advance(now);
    const auto deadline = now + std::chrono::milliseconds(numberParameter(request, "wait_ms"));
    respondWhen(
        [this, after] {
            return state_.version() > after;
        },
        deadline,
        [this, respond = std::move(respond)] {
            respond({200, {}, encodeInventory(state_.inventory(std::chrono::steady_clock::now()))});
        });
}

auto WorkerServer::respondWhen(std::function<bool()> isReady, SteadyTime deadline, std::function<void()> respond) -> void
{
    pending_.push_back({std::move(isReady), deadline, std::move(respond)});
    sendReadyResponses();
}

auto WorkerServer::sendReadyResponses() -> void
{
    const auto now = std::chrono::steady_clock::now();
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        if (now >= entry->deadline_ || entry->isReady_()) {
            entry->respond_();
            entry = pending_.erase(entry);
        } else {
            ++entry;
        }
    }
}

auto WorkerServer::scheduleTick() -> void
{
    tickTimer_.expires_after(TickInterval);
    tickTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            state_.advance(std::chrono::steady_clock::now());
            sendReadyResponses();
            scheduleTick();
        }
    });
}

auto WorkerServer::registerWithPlatform() -> void
{
    if (options_.platform_.empty()) {
        return;
    }
    const nlohmann::json entry{{"id", options_.id_.value()},
                               {"role", "worker"},
                               {"availability_zone", options_.zone_.value()},
                               {"address", options_.address_ + ":" + std::to_string(port_)},
                               {"state", "live"},
                               {"rack", options_.rack_.value()},
                               {"accelerators", options_.capacity_.accelerators_},
                               {"cores", options_.capacity_.cores_},
                               {"memory_mb", options_.capacity_.memoryMb_}};
    client_.send({"PUT", options_.platform_, "/v1/instances/" + options_.id_.value(), {}, entry.dump()}, [](const Result<HttpClientResponse> &) {});
    registrationTimer_.expires_after(RegistrationInterval);
    registrationTimer_.async_wait([this](const std::error_code &error) {
        if (!error) {
            registerWithPlatform();
        }
    });
}
} // namespace Marjoramfold::Standins
