#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/worker/workermessages.h"

#include <functional>

namespace Marjoramfold
{
/// Client of the workers' command protocol. Each callback runs once, on the HTTP client's io_context.
///
/// Errors: StaleEpoch when the worker has seen a higher epoch; ConnectFailed when nothing was sent; Timeout, TransportFailed
/// or Malformed when the commands may have taken effect.
class WorkerClient
{
public:
    /// The HTTP client must outlive this object.
    explicit WorkerClient(HttpClient &http);

    /// Sends commands to a worker; the callback gets one result per command, in order.
    auto send(const std::string &address,
              const WorkerCommandBatch &batch,
              const std::string &traceparent,
              std::function<void(Result<std::vector<WorkerCommandResult>>)> done) -> void;

    /// Fetches the inventory of a worker, waiting up to `wait` for a version above `after`. The worker then refuses lower epochs.
    auto fetchInventory(const std::string &address,
                        Epoch epoch,
                        std::uint64_t after,
                        std::chrono::milliseconds wait,
                        std::function<void(Result<WorkerInventory>)> done) -> void;

private:
    HttpClient &http_;
};
} // namespace Marjoramfold
