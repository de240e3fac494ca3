#pragma once

#include "marjoramfold/core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Marjoramfold
{
/// A queue of jobs: how requests find it and how its jobs are treated.
struct QueueConfig {
    std::string name_;
    std::string host_;
    /// Requests whose path begins with this belong to the queue, unless a longer prefix matches.
    std::string pathPrefix_;
    /// Pool of workers that runs the jobs.
    std::string pool_;
    /// 0 comes first and may preempt others.
    int priority_ = 0;
    /// Runs of a task that may fail before the job fails.
    std::uint32_t maxAttempts_ = 1;
    /// A job is on time within this many times its longest chain of work plus the target latency.
    double stretch_ = 1.0;
    std::chrono::milliseconds targetLatency_{0};
    /// Requests need no key.
    bool public_ = false;
    /// Another service must permit each worker first; this version cannot ask it.
    bool requiresAdmissionCheck_ = false;
};

/// A pool of workers.
struct PoolConfig {
    std::string name_;
    /// The workers refuse what does not fit; other workers start whatever they are told to.
    bool enforcesCapacity_ = false;
    /// The machines of the pool are switched off.
    bool poweredOff_ = false;
};

/// A team and what it is guaranteed.
struct TeamConfig {
    TeamId id_;
    std::vector<std::string> keys_;
    /// Accelerators that the team's jobs of priority 0 can always have.
    std::int64_t guaranteedAccelerators_ = 0;
};

/// One version of the operators' configuration, with its look-ups.
class OperatorConfig
{
public:
    OperatorConfig() = default;
    OperatorConfig(std::uint64_t version, std::vector<QueueConfig> queues, std::vector<PoolConfig> pools, std::vector<TeamConfig> teams);

    /// Number that the operators gave the version; 0 before the first.
    [[nodiscard]] auto version() const -> std::uint64_t;

    /// Queue of a request: the host must be equal, and the longest matching prefix wins. Null when there is none.
    [[nodiscard]] auto findQueue(std::string_view host, std::string_view path) const -> const QueueConfig *;

    /// Queue with a name; null when there is none.
    [[nodiscard]] auto queueNamed(const std::string &name) const -> const QueueConfig *;

    /// Team that owns a key; null for an unknown key.
    [[nodiscard]] auto teamOfKey(const std::string &key) const -> const TeamConfig *;

private:
    std::uint64_t version_ = 0;
    std::vector<QueueConfig> queues_;
    std::vector<PoolConfig> pools_;
    std::vector<TeamConfig> teams_;
    std::unordered_map<std::string, std::vector<std::size_t>> queuesByHost_;
    std::unordered_map<std::string, std::size_t> queuesByName_;
    std::unordered_map<std::string, std::size_t> teamsByKey_;
};
} // namespace Marjoramfold
