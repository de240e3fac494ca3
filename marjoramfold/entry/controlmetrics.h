#pragma once

#include "marjoramfold/entry/controlplane.h"

namespace Marjoramfold
{
/// Writes the control state into the metrics of the instance. Control thread only.
class ControlMetrics
{
public:
    explicit ControlMetrics(ControlPlane &control);

    /// Sets all gauges to the present state.
    auto update() -> void;

private:
    ControlPlane &control_;
    MetricsRegistry &metrics_;
};
} // namespace Marjoramfold
