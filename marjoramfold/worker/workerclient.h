#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/worker/workermessages.h"

#include <functional>

namespace Marjoramfold
{
/// Speaks the workers' command protocol. Callbacks run on the HTTP client's io_context, once each.
///
/// Errors: StaleEpoch when the worker obeys a newer scheduler; ConnectFailed when nothing was sent; Timeout, TransportFailed
/// or Malformed when the commands may have taken effect.
class WorkerClient
{
public:
    /// Sends over an HTTP client that must outlive this object.
    explicit WorkerClient(HttpClient &http);

    /// Sends commands to a worker and answers one result per command, in order.
    auto send(const std::string &address,
              const WorkerCommandBatch &batch,
              const std::string &traceparent,
              std::function<void(Result<std::vector<WorkerCommandResult>>)> done) -> void;

    /// Fetches the inventory of a worker, after waiting at most `wait` for one newer than `after`. It fences off lower epochs.
    auto fetchInventory(const std::string &address,
                        Epoch epoch,
                        std::uint64_t after,
                        std::chrono::milliseconds wait,
                        std::function<void(Result<WorkerInventory>)> done) -> void;

private:
    HttpClient &http_;
};
} // namespace Marjoramfold
