#pragma once

#include "marjoramfold/entry/controlplane.h"

namespace Marjoramfold
{
/// Updates the gauges of the control plane. Control thread only.
class ControlMetrics
{
public:
    explicit ControlMetrics(ControlPlane &control);

    auto update() -> void;

private:
    ControlPlane &control_;
    MetricsRegistry &metrics_;
};
} // namespace Marjoramfold
