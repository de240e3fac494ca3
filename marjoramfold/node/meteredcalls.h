#pragma once

#include "marjoramfold/dispatch/workersessions.h"
#include "marjoramfold/observability/metrics.h"
#include "marjoramfold/store/streamstore.h"

namespace Marjoramfold
{
/// Wraps a store so that each call is counted by outcome and timed. The time of a read includes its wait for records.
[[nodiscard]] auto meterStore(StreamStore store, MetricsRegistry &registry) -> StreamStore;

/// Wraps the calls to workers so that each is counted by outcome and timed. The time of a renewal includes its wait for the end of a run.
[[nodiscard]] auto meterWorkers(WorkerCalls calls, MetricsRegistry &registry) -> WorkerCalls;
} // namespace Marjoramfold
