#include "marjoramfold/node/meteredcalls.h"

#include "marjoramfold/core/clock.h"

#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <utility>
#include <variant>

namespace Marjoramfold
{
namespace
{
auto nameOf(const AppendResult &result) -> std::string
{
    constexpr std::array<const char *, std::variant_size_v<AppendResult>> Names{"stored", "fenced", "out_of_sequence", "refused", "unknown"};
    return Names.at(result.index());
}

template<typename Page>
auto nameOf(const Result<Page> &result) -> std::string
{
    return isOk(result) ? "ok" : std::string(errorAnswer(errorOf(result).kind_).name_);
}

auto nameOf(const CommandResponse &response) -> std::string
{
    return std::string(toString(response.outcome_));
}

/// Counts one kind of call by outcome and measures its duration.
class CallMeter
{
public:
    CallMeter(CounterFamily &calls, HistogramFamily &times, std::string call)
        : calls_(calls)
        , time_(times.at({call}))
        , call_(std::move(call))
    {
    }

    /// Wraps a call so that each answer is counted and timed before the callback runs.
    template<typename Request, typename Answer>
    [[nodiscard]] auto wrap(std::function<void(Request, std::function<void(Answer)>)> send) const -> std::function<void(Request, std::function<void(Answer)>)>
    {
        return [meter = *this, send = std::move(send)](Request request, std::function<void(Answer)> callback) {
            const auto startedAt = BootClock::now();
            send(std::move(request), [meter, startedAt, callback = std::move(callback)](Answer answer) {
                meter.time_.Observe(std::chrono::duration<double>(BootClock::now() - startedAt).count());
                meter.calls_.at({meter.call_, nameOf(answer)}).Increment();
                callback(std::move(answer));
            });
        };
    }

private:
    CounterFamily &calls_;
    prometheus::Histogram &time_;
    std::string call_;
};
} // namespace

auto meterStore(StreamStore store, MetricsRegistry &registry) -> StreamStore
{
    auto &calls = registry.counter({"marjoramfold_store_calls_total", "Calls to the platform's store by call and outcome", {"call", "outcome"}});
    auto &times = registry.histogram({"marjoramfold_store_call_seconds", "Time to the store's answer by call, waits included", {"call"}}, latencyBuckets());
    return {CallMeter(calls, times, "append").wrap(std::move(store.append_)),
            CallMeter(calls, times, "read").wrap(std::move(store.read_)),
            CallMeter(calls, times, "newest").wrap(std::move(store.newest_))};
}

auto meterWorkers(WorkerCalls workers, MetricsRegistry &registry) -> WorkerCalls
{
    auto &calls = registry.counter({"marjoramfold_worker_calls_total", "Calls of the leader to workers by call and outcome", {"call", "outcome"}});
    auto &times = registry.histogram({"marjoramfold_worker_call_seconds", "Time to the worker's answer by call, waits included", {"call"}}, latencyBuckets());
    return {CallMeter(calls, times, "start").wrap(std::move(workers.start_)),
            CallMeter(calls, times, "stop").wrap(std::move(workers.stop_)),
            CallMeter(calls, times, "renew").wrap(std::move(workers.renew_))};
}
} // namespace Marjoramfold
