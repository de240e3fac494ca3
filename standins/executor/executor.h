#pragma once

#include "executorfaults.h"
#include "rawhttpserver.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace Marjoramfold
{
/// Settings of the executor stand-in.
struct ExecutorOptions {
    std::string id_ = "executor-1";
    std::string address_ = "127.0.0.1";
    std::uint16_t port_ = 0;
    int slots_ = 8;
    std::size_t maxConnections_ = 60;
    /// Duration of one execution without faults.
    std::chrono::microseconds work_{0};
    std::uint64_t seed_ = 1;
};

/// Stand-in for a target: executes POST /v1/execute in a bounded number of slots, with faults set by POST /v1/faults, and counts
/// the executions of each Idempotency-Key for GET /v1/account.
class Executor
{
public:
    Executor(asio::io_context &context, ExecutorOptions options);

    /// The bound port.
    [[nodiscard]] auto port() const -> std::uint16_t;

    /// Returns true while the executor refuses all work with X-Leaving.
    [[nodiscard]] auto isLeaving() const -> bool;

private:
    struct Execution {
        RawRequest request_;
        RawResponder respond_;
        std::chrono::steady_clock::time_point deadline_;
    };

    auto handle(RawRequest request, std::size_t openConnections, RawResponder respond) -> void;
    auto enqueue(RawRequest request, RawResponder respond) -> void;
    auto startNext() -> void;
    auto execute(Execution execution) -> void;
    auto finish(Execution execution) -> void;
    auto reply(Execution execution, RawAnswer answer) -> void;
    auto after(std::chrono::microseconds delay, std::function<void()> action) -> void;
    [[nodiscard]] auto answerOf(const RawRequest &request) const -> RawAnswer;
    [[nodiscard]] auto account() const -> std::string;
    [[nodiscard]] auto chance(double probability) -> bool;

    asio::io_context &context_;
    ExecutorOptions options_;
    ExecutorFaults faults_;
    std::mt19937_64 random_;
    int busy_ = 0;
    std::deque<Execution> waiting_;
    std::unordered_map<std::string, std::uint64_t> executions_;
    std::uint64_t total_ = 0;
    std::optional<RawAnswer> earlierAnswer_;
    RawHttpServer server_;
};
} // namespace Marjoramfold
