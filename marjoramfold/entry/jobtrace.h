#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/observability/traceparent.h"

namespace Marjoramfold
{
/// The trace of a job. It is derived from the job's id, so that every instance that works on the job joins the same trace.
[[nodiscard]] auto traceOfJob(const JobId &job) -> TraceContext;
} // namespace Marjoramfold
