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
/// Settings of a job queue: request routing, scheduling and failure limits.
struct QueueConfig {
    std::string name_;
    std::string host_;
    /// Path prefix of the queue's requests; a longer matching prefix has precedence.
    std::string pathPrefix_;
    /// Pool whose workers run the jobs.
    std::string pool_;
    /// Lower values are scheduled first; 0 may preempt others.
    int priority_ = 0;
    /// Number of failed runs of one task after which the job fails.
    std::uint32_t maxAttempts_ = 1;
    /// A job meets its objective if it ends within this many times its critical path, plus the target latency.
    double stretch_ = 1.0;
    std::chrono::milliseconds targetLatency_{0};
    /// Requests need no API key.
    bool public_ = false;
    /// An external service must admit each worker first; not supported, so the queue's jobs do not start.
    bool requiresAdmissionCheck_ = false;
};

/// Settings of a worker pool.
struct PoolConfig {
    std::string name_;
    /// The workers reject tasks beyond their capacity; workers of other pools start every task.
    bool enforcesCapacity_ = false;
    /// The machines of the pool are powered off.
    bool poweredOff_ = false;
};

/// Settings of a team: API keys and guaranteed accelerators.
struct TeamConfig {
    TeamId id_;
    std::vector<std::string> keys_;
    /// Accelerators guaranteed to the team's jobs of priority 0.
    std::int64_t guaranteedAccelerators_ = 0;
};

/// One version of the operators' configuration, indexed for lookups.
class OperatorConfig
{
public:
    OperatorConfig() = default;
    OperatorConfig(std::uint64_t version, std::vector<QueueConfig> queues, std::vector<PoolConfig> pools, std::vector<TeamConfig> teams);

    /// Version number set by the operators; 0 before the first version.
    [[nodiscard]] auto version() const -> std::uint64_t;

    /// Queues, pools and teams in the order of the document.
    [[nodiscard]] auto queues() const -> const std::vector<QueueConfig> &;
    [[nodiscard]] auto pools() const -> const std::vector<PoolConfig> &;
    [[nodiscard]] auto teams() const -> const std::vector<TeamConfig> &;

    /// Queue of a request: exact host and longest matching path prefix. Null when there is none.
    [[nodiscard]] auto findQueue(std::string_view host, std::string_view path) const -> const QueueConfig *;

    /// Queue with the given name; null when there is none.
    [[nodiscard]] auto queueNamed(const std::string &name) const -> const QueueConfig *;

    /// Team that owns an API key; null for an unknown key.
    [[nodiscard]] auto teamOfKey(const std::string &key) const -> const TeamConfig *;

    /// Accelerators guaranteed to a team's jobs of priority 0; none for an unknown team.
    [[nodiscard]] auto guaranteedAccelerators(const TeamId &team) const -> std::int64_t;

private:
    std::uint64_t version_ = 0;
    std::vector<QueueConfig> queues_;
    std::vector<PoolConfig> pools_;
    std::vector<TeamConfig> teams_;
    std::unordered_map<std::string, std::vector<std::size_t>> queuesByHost_;
    std::unordered_map<std::string, std::size_t> queuesByName_;
    std::unordered_map<std::string, std::size_t> teamsByKey_;
    std::unordered_map<TeamId, std::int64_t> guarantees_;
};
} // namespace Marjoramfold
