#include "marjoramfold/worker/workerclient.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
// A worker responds at once, apart from the grace or wait in a request, which is added.
constexpr std::chrono::milliseconds ResponseTimeout{2'000};

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;

auto longestGrace(const WorkerCommandBatch &batch) -> std::chrono::milliseconds
{
    std::chrono::milliseconds longest{0};
    for (const auto &command : batch.commands_) {
        longest = std::max(longest, command.grace_);
    }
    return longest;
}

/// The body of a successful response, or the error for its status.
auto successBody(Result<HttpClientResponse> answer) -> Result<std::string>
{
    if (!isOk(answer)) {
        return errorOf(answer);
    }
    auto response = valueOf(std::move(answer));
    if (response.status_ == StatusConflict) {
        return Error{ErrorKind::StaleEpoch, "the worker refused the epoch of this scheduler: it has seen a higher one", std::nullopt};
    }
    if (response.status_ != StatusOk) {
        return Error{ErrorKind::TransportFailed, "the worker responded with status " + std::to_string(response.status_), std::nullopt};
    }
    return std::move(response.body_);
}
} // namespace

WorkerClient::WorkerClient(HttpClient &http)
    : http_(http)
{
}

auto WorkerClient::send(const std::string &address,
                        const WorkerCommandBatch &batch,
                        const std::string &traceparent,
                        std::function<void(Result<std::vector<WorkerCommandResult>>)> done) -> void
{
    HttpClientRequest request{"POST", address, "/v1/commands", {}, encodeBatch(batch), ResponseTimeout + longestGrace(batch)};
    if (!traceparent.empty()) {
        request.headers_.push_back({"traceparent", traceparent});
    }
    const auto expected = batch.commands_.size();
    http_.send(std::move(request), [done = std::move(done), expected](Result<HttpClientResponse> answer) {
        const auto body = successBody(std::move(answer));
        if (!isOk(body)) {
            done(errorOf(body));
            return;
        }
        auto results = decodeResults(valueOf(body));
        if (isOk(results) && valueOf(results).size() != expected) {
            results = Error{ErrorKind::Malformed, "the worker responded with a wrong number of results", std::nullopt};
        }
        done(std::move(results));
    });
}

auto WorkerClient::fetchInventory(
    const std::string &address, Epoch epoch, std::uint64_t after, std::chrono::milliseconds wait, std::function<void(Result<WorkerInventory>)> done) -> void
{
    const auto target = "/v1/inventory?epoch=" + std::to_string(epoch.claim_) + "&rank=" + std::to_string(epoch.rank_) + "&after=" + std::to_string(after)
        + "&wait_ms=" + std::to_string(wait.count());
    http_.send({"GET", address, target, {}, "", ResponseTimeout + wait}, [done = std::move(done)](Result<HttpClientResponse> answer) {
        const auto body = successBody(std::move(answer));
        if (isOk(body)) {
            done(decodeInventory(valueOf(body)));
        } else {
            done(errorOf(body));
        }
    });
}
} // namespace Marjoramfold
