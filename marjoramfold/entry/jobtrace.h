#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/observability/traceparent.h"

namespace Marjoramfold
{
/// Trace context of a job, derived from the job id, so that all instances add their spans to the same trace.
[[nodiscard]] auto traceOfJob(const JobId &job) -> TraceContext;
} // namespace Marjoramfold
