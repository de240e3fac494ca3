#include "marjoramfold/fleet/workerentry.h"

#include "marjoramfold/core/namedvalues.h"

namespace Marjoramfold
{
namespace
{
constexpr std::array EndKindNames{
    NamedValue<RunOutcome>{RunOutcome::Done, "done"},
    NamedValue<RunOutcome>{RunOutcome::Failed, "failed"},
    NamedValue<RunOutcome>{RunOutcome::Stopped, "stopped"},
    NamedValue<RunOutcome>{RunOutcome::LeaseExpired, "lapsed"},
    NamedValue<RunOutcome>{RunOutcome::GangMemberEnded, "broken"},
    NamedValue<RunOutcome>{RunOutcome::GangIncomplete, "alone"},
    NamedValue<RunOutcome>{RunOutcome::Lost, "lost"},
};

constexpr std::array OutcomeNames{
    NamedValue<OrderOutcome>{OrderOutcome::Accepted, "accepted"},
    NamedValue<OrderOutcome>{OrderOutcome::Refused, "refused"},
    NamedValue<OrderOutcome>{OrderOutcome::Fenced, "fenced"},
    NamedValue<OrderOutcome>{OrderOutcome::Late, "late"},
    NamedValue<OrderOutcome>{OrderOutcome::Reborn, "reborn"},
    NamedValue<OrderOutcome>{OrderOutcome::Unknown, "unknown"},
};
} // namespace

auto toString(RunOutcome kind) -> std::string_view
{
    return nameOf(EndKindNames, kind);
}

auto toString(OrderOutcome outcome) -> std::string_view
{
    return nameOf(OutcomeNames, outcome);
}
} // namespace Marjoramfold
