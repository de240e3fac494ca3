#include "marjoramfold/fleet/workerentry.h"

#include "marjoramfold/core/namedvalues.h"

namespace Marjoramfold
{
namespace
{
constexpr std::array EndKindNames{
    NamedValue<EndKind>{EndKind::Done, "done"},
    NamedValue<EndKind>{EndKind::Failed, "failed"},
    NamedValue<EndKind>{EndKind::Stopped, "stopped"},
    NamedValue<EndKind>{EndKind::Lapsed, "lapsed"},
    NamedValue<EndKind>{EndKind::Broken, "broken"},
    NamedValue<EndKind>{EndKind::Alone, "alone"},
    NamedValue<EndKind>{EndKind::Lost, "lost"},
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

auto toString(EndKind kind) -> std::string_view
{
    return nameOf(EndKindNames, kind);
}

auto toString(OrderOutcome outcome) -> std::string_view
{
    return nameOf(OutcomeNames, outcome);
}
} // namespace Marjoramfold
