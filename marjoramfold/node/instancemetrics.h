#pragma once

#include "marjoramfold/node/jobfeed.h"
#include "marjoramfold/node/leaderruntime.h"
#include "marjoramfold/observability/metrics.h"
#include "marjoramfold/store/orderedappender.h"

namespace Marjoramfold
{
/// Gauges of what an instance holds and, while it leads, of what it schedules. Set a few times a second.
class InstanceMetrics
{
public:
    explicit InstanceMetrics(MetricsRegistry &registry);

    /// Takes the figures of this moment; `leader` is null while the instance does not lead.
    auto update(bool ready, const JobFeed &feed, const OrderedAppender &appender, const LeaderRuntime *leader) -> void;

private:
    prometheus::Gauge &ready_;
    prometheus::Gauge &leads_;
    prometheus::Gauge &jobs_;
    prometheus::Gauge &appendBacklog_;
    prometheus::Gauge &workers_;
    prometheus::Gauge &silentWorkers_;
    prometheus::Gauge &runs_;
    GaugeFamily &decisions_;
};
} // namespace Marjoramfold
