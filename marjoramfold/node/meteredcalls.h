#pragma once

#include "marjoramfold/dispatch/workersessions.h"
#include "marjoramfold/observability/metrics.h"
#include "marjoramfold/store/streamstore.h"

namespace Marjoramfold
{
/// The same store, with each call counted by outcome and timed. A read's time includes its wait for records.
[[nodiscard]] auto meterStore(StreamStore store, MetricsRegistry &registry) -> StreamStore;

/// The same calls to workers, counted by outcome and timed. A renewal's time includes its wait for an end.
[[nodiscard]] auto meterWorkers(WorkerCalls calls, MetricsRegistry &registry) -> WorkerCalls;
} // namespace Marjoramfold
