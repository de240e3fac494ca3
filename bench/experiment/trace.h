#pragma once

#include "harness.h"

#include <ostream>

namespace Marjoramfold
{
/// Wraps a policy so that all events and commands about one job are written as lines `t=SECONDS > event` and `t=SECONDS < command`.
[[nodiscard]] auto traced(PolicyFactory factory, const JobId &job, std::ostream &out) -> PolicyFactory;
} // namespace Marjoramfold
