#pragma once

#include "marjoramfold/core/result.h"
#include "marjoramfold/dispatch/dispatchoptions.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace Marjoramfold
{
/// Settings of one instance, generated from the platform's template.
struct NodeSettings {
    std::string name_;
    std::string zone_;
    /// HOST:PORT for callers, readiness checks and metrics.
    std::string callerAddress_;
    std::string readinessAddress_;
    std::string metricsAddress_;
    std::string storeAddress_;
    /// CPU cores assigned to the instance; instances with a larger share claim leadership earlier.
    double coreShare_ = 1.0;
    /// File descriptors that the process may open; limits the idle connections that are kept to workers.
    std::size_t maxDescriptors_ = 4096;
    /// Longest time for which a revoked API key may still be accepted.
    std::chrono::milliseconds revokeBound_{5000};
    /// Time from SIGTERM to SIGKILL.
    std::chrono::milliseconds shutdownGrace_{6000};
    DispatchOptions dispatch_;
};

/// Parses settings in TOML. Error: InvalidSettings with the key and the reason.
[[nodiscard]] auto parseNodeSettings(const std::string &text) -> Result<NodeSettings>;

/// Reads a settings file. Error: InvalidSettings.
[[nodiscard]] auto loadNodeSettings(const std::string &path) -> Result<NodeSettings>;
} // namespace Marjoramfold
