#pragma once

#include "marjoramfold/entry/controlplane.h"

namespace Marjoramfold
{
/// Builds the JSON answers to queries of the control API. Control thread only.
class ControlViews
{
public:
    explicit ControlViews(const ControlPlane &control);

    /// Whether a version is in force, per availability zone:
    /// {"version","zones":[{"availability_zone","in_force","answers","unconfirmed","confirmed_ms"}]}.
    [[nodiscard]] auto rulesInForce(Offset version) const -> Result<nlohmann::json>;

    [[nodiscard]] auto jobs() const -> nlohmann::json;
    [[nodiscard]] auto job(const JobId &job) const -> Result<nlohmann::json>;

    /// Explanation of a job by the local scheduler; empty when this instance does not schedule the job's availability zone.
    [[nodiscard]] auto explainJobHere(const JobId &job) const -> std::optional<nlohmann::json>;

    [[nodiscard]] auto explainTeam(const TeamId &team) const -> Result<nlohmann::json>;
    [[nodiscard]] auto explainZone(const AvailabilityZoneId &zone) const -> Result<nlohmann::json>;
    [[nodiscard]] auto status() const -> nlohmann::json;
    [[nodiscard]] auto ready() const -> Result<nlohmann::json>;

private:
    /// Generic text for what must change before a job can run, used when the scheduler gives no more specific one.
    [[nodiscard]] auto neededChange(const JobStatus &status, const JobExplanation &explanation, const ZoneRuntime &runtime) const -> std::string;
    [[nodiscard]] auto zoneStatus(const AvailabilityZoneRule &rule) const -> nlohmann::json;

    const ControlPlane &control_;
};
} // namespace Marjoramfold
