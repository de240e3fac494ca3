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
/// Where and how fast a thread sends.
struct LoadOptions {
    /// HOST:PORT of the entries, used in turn.
    std::vector<std::string> entries_;
    /// HOST:PORT of executors that get requests directly, as the comparison; empty for none.
    std::vector<std::string> bare_;
    LoadMix mix_;
    /// Requests per second of this thread, to the entries and directly.
    double rate_ = 100;
    double bareRate_ = 0;
    std::chrono::milliseconds duration_{10'000};
    std::size_t maxRequests_ = 1'000'000;
    /// Time beyond the deadline after which an answer counts as lost.
    std::chrono::milliseconds patience_{5'000};
    long connectionsPerEntry_ = 64;
    std::uint64_t seed_ = 1;
    /// Part of the keys, unique among all threads and runs.
    std::string keyPrefix_;
};

/// What a caller learned about its request.
enum class LoadOutcome {
    /// No answer came within the patience.
    Lost,
    Answered,
    /// An answer came that belongs to another request.
    Crossed,
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
    /// From the intended send time to the answer: a late start of the load program counts as latency.
    std::chrono::microseconds latency_{0};
    /// Kind of an error answer.
    std::string errorKind_;
};

/// Sends requests at a fixed rate on one thread, whatever the answers do.
class LoadThread
{
public:
    explicit LoadThread(LoadOptions options);

    /// Runs the load and waits for the last answers; call it once.
    auto run() -> void;

    /// The requests, when run() has returned.
    [[nodiscard]] auto samples() const -> const std::vector<LoadSample> &;

    /// Largest delay between an intended and the actual send time.
    [[nodiscard]] auto largestSendDelay() const -> std::chrono::microseconds;

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// One stream of requests at a rate.
    struct Stream {
        bool bare_ = false;
        double rate_ = 0;
        std::uint64_t sent_ = 0;
        /// Intended time of the first request after the start.
        std::chrono::nanoseconds offset_{0};
    };

    auto sendDue() -> void;
    [[nodiscard]] auto intendedTime(const Stream &stream) const -> TimePoint;
    auto sendOne(const Stream &stream, TimePoint intended) -> void;
    auto sendWithIssuedKey(std::size_t index, const LoadClass &what, TimePoint intended) -> void;
    auto sendToEntry(std::size_t index, const LoadClass &what, TimePoint intended) -> void;
    auto sendBare(std::size_t index, const LoadClass &what, TimePoint intended) -> void;
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
    bool sendingEnded_ = false;
    std::size_t open_ = 0;
    std::size_t turn_ = 0;
    std::chrono::microseconds largestSendDelay_{0};
};
} // namespace Marjoramfold
