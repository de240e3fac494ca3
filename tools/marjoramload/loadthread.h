#pragma once

#include "marjoramfold/http/httpclient.h"
#include "mix.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Targets and send rates of a thread.
struct LoadOptions {
    /// HOST:PORT of the entries, used in turn.
    std::vector<std::string> entries_;
    /// HOST:PORT of executors that receive requests directly, as the baseline latency; empty for none.
    std::vector<std::string> directExecutors_;
    LoadMix mix_;
    /// Requests per second of this thread, to the entries and directly.
    double rate_ = 100;
    double directRate_ = 0;
    std::chrono::milliseconds duration_{10'000};
    std::size_t maxRequests_ = 1'000'000;
    /// Time past the deadline after which a missing answer counts as lost.
    std::chrono::milliseconds timeoutMargin_{5'000};
    long connectionsPerEntry_ = 64;
    std::uint64_t seed_ = 1;
    /// Prefix of the request keys, unique among all threads and runs.
    std::string keyPrefix_;
};

/// Outcome of a request as seen by its caller.
enum class LoadOutcome {
    /// No answer arrived within the deadline and the timeout margin.
    Lost,
    Answered,
    /// The answer belongs to another request.
    Mismatched,
    NotRun,
    MaybeRan,
};

/// One request that was sent.
struct LoadSample {
    std::string key_;
    /// Index into the mix; -1 for requests sent directly to an executor.
    int class_ = 0;
    bool idempotent_ = true;
    LoadOutcome outcome_ = LoadOutcome::Lost;
    /// From the intended send time to the answer, so that a delayed send counts as latency.
    std::chrono::microseconds latency_{0};
    /// Kind of an error answer.
    std::string errorKind_;
};

/// Sends requests at a fixed rate on one thread, independent of the answers (open loop).
class LoadThread
{
public:
    explicit LoadThread(LoadOptions options);

    /// Sends all requests and waits for the last answer; may be called once.
    auto run() -> void;

    /// All requests; valid once run() has returned.
    [[nodiscard]] auto samples() const -> const std::vector<LoadSample> &;

    /// Time from the first intended send to the last answer.
    [[nodiscard]] auto elapsed() const -> std::chrono::duration<double>;

    /// Largest delay between an intended and the actual send time.
    [[nodiscard]] auto maxSendDelay() const -> std::chrono::microseconds;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Requests of one kind, sent at a fixed rate.
    struct Stream {
        bool direct_ = false;
        double rate_ = 0;
        std::uint64_t sent_ = 0;
        /// Intended send time of the first request, relative to the start.
        std::chrono::nanoseconds offset_{0};
    };

    auto sendDue() -> void;
    [[nodiscard]] auto intendedTime(const Stream &stream) const -> TimePoint;
    auto sendOne(const Stream &stream, TimePoint intended) -> void;
    auto sendWithIssuedKey(std::size_t index, const LoadClass &loadClass, TimePoint intended) -> void;
    auto sendToEntry(std::size_t index, const LoadClass &loadClass, TimePoint intended) -> void;
    auto sendDirect(std::size_t index, const LoadClass &loadClass, TimePoint intended) -> void;
    auto send(HttpClientRequest request, std::size_t index, std::uint64_t checksum, TimePoint intended) -> void;
    auto finish(std::size_t index, LoadOutcome outcome, TimePoint intended) -> void;
    auto stopWhenDone() -> void;
    [[nodiscard]] auto pickClass() -> int;
    [[nodiscard]] auto nextEntry() -> const std::string &;

    LoadOptions options_;
    asio::io_context context_{1};
    HttpClient client_;
    asio::steady_timer timer_;
    std::mt19937_64 random_;
    std::discrete_distribution<int> classes_;
    std::vector<Stream> streams_;
    std::vector<LoadSample> samples_;
    TimePoint start_;
    std::chrono::duration<double> elapsed_{0};
    bool sendingEnded_ = false;
    std::size_t inFlight_ = 0;
    std::size_t nextAddress_ = 0;
    std::chrono::microseconds maxSendDelay_{0};
};
} // namespace Marjoramfold
