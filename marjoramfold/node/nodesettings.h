#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/dispatch/dispatchoptions.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Marjoramfold
{
/// Settings of one instance, as the platform's template fills them in.
struct NodeSettings {
    std::string name_;
    std::string zone_;
    /// HOST:PORT for callers, readiness checks and metrics.
    std::string callerAddress_;
    std::string readinessAddress_;
    std::string metricsAddress_;
    std::string storeAddress_;
    /// Share of a core that the instance has; those with more lead first.
    double coreShare_ = 1.0;
    /// A key that was taken away must not be honoured longer than this.
    std::chrono::milliseconds revokeBound_{5000};
    /// Time from SIGTERM to SIGKILL.
    std::chrono::milliseconds shutdownGrace_{6000};
    DispatchOptions dispatch_;
};

/// Reads settings in TOML. Error: InvalidSettings with the key and the reason.
[[nodiscard]] auto parseNodeSettings(const std::string &text) -> Result<NodeSettings>;

/// Reads a settings file. Error: InvalidSettings.
[[nodiscard]] auto loadNodeSettings(const std::string &path) -> Result<NodeSettings>;
} // namespace Marjoramfold
