#pragma once

#include "marjoramfold/core/ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Marjoramfold
{
/// The lease of a worker that has stopped answering the leader, and for how long it may still last.
struct SilentLease {
    WorkerId worker_;
    std::chrono::milliseconds leaseLeft_{0};

    /// Serializes the lease with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(worker_, leaseLeft_);
    }
};

/// What a leader states of its workers' leases with each renewal of its leadership, for a successor that cannot reach a worker.
///
/// A silent worker gets neither a lease nor a start command until the store has confirmed a statement without it.
struct LeaseStatement {
    /// Most workers that a statement names.
    static constexpr std::size_t MaxWorkers = 256;
    /// Longest time that a statement may allow for renewals.
    static constexpr std::chrono::milliseconds MaxRenewsFor{5000};

    /// For how long after this statement was sent the leader may renew leases without a further answer of the store.
    std::chrono::milliseconds renewsFor_{0};
    /// Runs recorded before this offset of the progress stream have been listed by their workers' reports and have no longer lease than the
    /// leader requests, but for runs on the workers below.
    std::uint64_t recordedBefore_ = 0;
    /// Workers with runs that no report has listed, or with a longer lease; in the order of their ids.
    std::vector<WorkerId> unreported_;
    /// Silent workers with runs, in the order of their ids.
    std::vector<SilentLease> silent_;

    /// Serializes the statement with cereal.
    template<typename Archive>
    auto serialize(Archive &archive) -> void
    {
        archive(renewsFor_, recordedBefore_, unreported_, silent_);
    }

    /// The statement on a silent worker; null for any other one.
    [[nodiscard]] auto findSilent(const WorkerId &worker) const -> const SilentLease *;

    /// True when the worker had listed a run that was recorded at the given offset.
    [[nodiscard]] auto covers(const WorkerId &worker, std::uint64_t recordedAt) const -> bool;
};
} // namespace Marjoramfold
