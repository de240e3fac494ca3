#include "marjoramfold/fleet/workerentry.h"

#include "marjoramfold/core/namedvalues.h"

namespace Marjoramfold
{
namespace
{
constexpr std::array RunOutcomeNames{
    NamedValue<RunOutcome>{RunOutcome::Done, "done"},
    NamedValue<RunOutcome>{RunOutcome::Failed, "failed"},
    NamedValue<RunOutcome>{RunOutcome::Stopped, "stopped"},
    NamedValue<RunOutcome>{RunOutcome::LeaseExpired, "lapsed"},
    NamedValue<RunOutcome>{RunOutcome::GangMemberEnded, "broken"},
    NamedValue<RunOutcome>{RunOutcome::GangIncomplete, "alone"},
    NamedValue<RunOutcome>{RunOutcome::Lost, "lost"},
};

constexpr std::array OutcomeNames{
    NamedValue<CommandOutcome>{CommandOutcome::Accepted, "accepted"},
    NamedValue<CommandOutcome>{CommandOutcome::Refused, "refused"},
    NamedValue<CommandOutcome>{CommandOutcome::Fenced, "fenced"},
    NamedValue<CommandOutcome>{CommandOutcome::LeaseExpired, "late"},
    NamedValue<CommandOutcome>{CommandOutcome::WorkerReplaced, "reborn"},
    NamedValue<CommandOutcome>{CommandOutcome::NotConnected, "not_connected"},
    NamedValue<CommandOutcome>{CommandOutcome::Unknown, "unknown"},
};
} // namespace

auto toString(RunOutcome kind) -> std::string_view
{
    return nameOf(RunOutcomeNames, kind);
}

auto toString(CommandOutcome outcome) -> std::string_view
{
    return nameOf(OutcomeNames, outcome);
}
} // namespace Marjoramfold
