#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/dispatch/backlogforecast.h"
#include "marjoramfold/fleet/jobplan.h"
#include "marjoramfold/fleet/operatorconfig.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Record in which the leader names the queues that must reject; none when rejecting ends.
struct BacklogRecord {
    std::uint64_t epoch_ = 0;
    /// Number of the record within its epoch.
    std::uint64_t number_ = 0;
    std::vector<QueueForecast> queues_;

    auto operator==(const BacklogRecord &) const -> bool = default;
};

/// Encodes the stored record. It is JSON, so that a later version can add fields that this one ignores.
[[nodiscard]] auto encodeBacklog(const BacklogRecord &record) -> std::string;

/// Decodes the stored record. Error: Malformed.
[[nodiscard]] auto decodeBacklog(const std::string &value) -> Result<BacklogRecord>;

/// Why a submission is rejected, and when it should be repeated.
struct AdmissionRejection {
    StartForecast forecast_;
    std::chrono::seconds retryAfter_{1};
};

/// An instance's decision on submissions by the leader's newest record. Accepts whenever the record is missing, old or of another leader.
class AdmissionControl
{
public:
    /// Takes a record that arrived now. A record that is not of the leader in office, or not newer than the present one, is ignored.
    auto onRecord(BacklogRecord record, std::uint64_t leaderEpoch, BootTime now) -> void;

    /// Decides on a submission; empty when it is accepted.
    [[nodiscard]] auto decide(const JobId &job, const JobPlan &plan, const QueueConfig &queue, std::uint64_t leaderEpoch, BootTime now) const
        -> std::optional<AdmissionRejection>;

    /// Age from which a record is ignored, so that nothing is rejected without a leader or store.
    static constexpr std::chrono::milliseconds MaxRecordAge{3000};

private:
    BacklogRecord record_;
    BootTime arrivedAt_{};
};
} // namespace Marjoramfold
