#pragma once

#include "marjoramfold/observability/workmeter.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace Marjoramfold
{
/// Urgency of a command to a worker; lower values are sent first.
enum class CommandLane : std::uint8_t {
    /// Renewals of leases, which must reach the worker before they expire.
    Leases,
    /// Start and stop commands.
    Runs,
    /// First reports of workers without runs, and probes of unresponsive ones.
    Contacts,
};

/// Sends commands in the order of their lanes, a limited number in each turn of the control thread.
///
/// Answers the load pattern in which one event concerns all workers: a new leader, the end of a store outage, the stop of a large job.
/// Without a limit, such a turn would delay the leader's own renewal beyond its timeout.
class PacedQueue
{
public:
    using Schedule = std::function<void(std::chrono::milliseconds, std::function<void()>)>;

    /// A null `workMeter` measures nothing.
    PacedQueue(Schedule schedule, std::size_t commandsPerTurn, WorkMeter *workMeter = nullptr);

    /// Queues a command. It is sent in a later turn, never within this call, so that callers may iterate over workers and runs.
    auto add(CommandLane lane, std::function<void()> send) -> void;

    /// Discards all waiting commands and sends no more.
    auto stop() -> void;

    /// Number of waiting commands.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    auto scheduleTurn() -> void;
    auto sendOne() -> bool;

    Schedule schedule_;
    std::size_t commandsPerTurn_;
    WorkMeter *workMeter_;
    std::array<std::deque<std::function<void()>>, 3> lanes_;
    bool turnScheduled_ = false;
    /// Expires when the queue is stopped or destroyed.
    std::shared_ptr<bool> alive_;
};
} // namespace Marjoramfold
