#pragma once

#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/node/leaderruntime.h"
#include "marjoramfold/observability/metrics.h"
#include "marjoramfold/observability/workmeter.h"
#include "marjoramfold/store/orderedappender.h"

namespace Marjoramfold
{
/// Gauges of an instance and, while it leads, of its scheduler. Updated several times a second.
class InstanceMetrics
{
public:
    explicit InstanceMetrics(MetricsRegistry &registry);

    /// Sets all gauges to the current values; `leader` is null while the instance does not lead.
    auto update(bool ready, const JobFeed &feed, const OrderedAppender &appender, const LeaderRuntime *leader) -> void;

    /// Adds the work of the control thread since the previous call.
    auto addWork(const WorkSummary &work) -> void;

private:
    prometheus::Gauge &ready_;
    prometheus::Gauge &leads_;
    prometheus::Gauge &jobs_;
    prometheus::Gauge &appendBacklog_;
    prometheus::Gauge &workers_;
    prometheus::Gauge &unresponsiveWorkers_;
    prometheus::Gauge &runs_;
    GaugeFamily &decisions_;
    GaugeFamily &speeds_;
    CounterFamily &work_;
};
} // namespace Marjoramfold
