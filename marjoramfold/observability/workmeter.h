#pragma once

#include "marjoramfold/core/clock.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Marjoramfold
{
/// Kinds of work of a thread that runs an event loop.
enum class WorkKind : std::uint8_t {
    /// Sending and receiving HTTP messages.
    Transport,
    /// Answers of the platform's store.
    StoreAnswers,
    /// Answers of workers to commands.
    WorkerAnswers,
    /// Entries of the platform's worker list.
    WorkerList,
    /// Records of the feed.
    Feed,
    /// Scheduling passes.
    Passes,
    /// Commands to workers that are sent in turns.
    Commands,
    /// Periodic checks of runs and leases.
    Ticks,
    /// Calls of callers.
    Callers,
};

constexpr std::size_t WorkKindCount = 9;

/// Name of a kind for logs and metrics.
[[nodiscard]] auto toString(WorkKind kind) -> std::string_view;

/// Time that each kind of work took since the previous summary, and the longest uninterrupted piece of work.
struct WorkSummary {
    std::array<std::chrono::microseconds, WorkKindCount> times_{};
    std::chrono::microseconds longest_{0};
    WorkKind longestKind_ = WorkKind::Transport;

    /// Sum of all kinds.
    [[nodiscard]] auto total() const -> std::chrono::microseconds;
};

/// Measures what one thread spends its time on. Time in a nested scope counts for the inner kind only. Not thread-safe.
class WorkMeter
{
public:
    /// Counts the time until the end of the scope for a kind. A scope of a null meter does nothing.
    class Scope
    {
    public:
        Scope(WorkMeter *meter, WorkKind kind);
        ~Scope();
        Scope(const Scope &) = delete;
        auto operator=(const Scope &) -> Scope & = delete;

    private:
        WorkMeter *meter_;
        WorkKind outerKind_ = WorkKind::Transport;
        bool isOutermost_ = false;
        BootTime startedAt_;
    };

    /// Returns the summary since the previous call and starts a new one.
    [[nodiscard]] auto takeSummary() -> WorkSummary;

private:
    auto countUntil(BootTime now) -> void;

    WorkSummary summary_;
    bool active_ = false;
    WorkKind kind_ = WorkKind::Transport;
    BootTime countedUntil_{};
};
} // namespace Marjoramfold
