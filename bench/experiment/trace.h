#pragma once

#include "harness.h"

#include <ostream>

namespace Marjoramfold
{
/// Wraps a policy so that events and commands of one job are written as lines `t=SECONDS > event` and `t=SECONDS < command`.
[[nodiscard]] auto tracePolicy(PolicyFactory factory, const JobId &job, std::ostream &out) -> PolicyFactory;
} // namespace Marjoramfold
