#include "commands.h"
#include "marjoramfold/core/jobjson.h"
#include "timeline.h"

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

auto showAnswer(Invocation &invocation, const std::string &target) -> ExitCode
{
    const auto answer = invocation.entries_.send({"GET", target, nullptr, Retry::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(invocation.terminal_, *error);
    }
    return report(invocation.terminal_, std::get<0>(answer), [&] {
        writeReadable(invocation.terminal_.out_, std::get<0>(answer));
    });
}

/// Creates the `explain` subcommand for one kind of object.
auto explain(const std::string &kind, const std::string &summary) -> Command
{
    return {{"explain", kind}, {"ID"}, summary, "", {}, true, [kind](Invocation &invocation) {
                const auto &id = invocation.arguments_.front();
                if (!isPlainIdentifier(id)) {
                    return reportWrongUse(invocation.terminal_, "'" + id + "' is not a valid " + kind + " id");
                }
                return showAnswer(invocation, "/v1/explain/" + kind + "/" + id);
            }};
}

auto runStatus(Invocation &invocation) -> ExitCode
{
    return showAnswer(invocation, "/v1/status");
}

/// Queries all entries, since each keeps only the spans that it recorded.
auto runTrace(Invocation &invocation) -> ExitCode
{
    const auto &id = invocation.arguments_.front();
    if (!isPlainIdentifier(id)) {
        return reportWrongUse(invocation.terminal_, "'" + id + "' is not a valid trace id");
    }
    std::vector<json> lists;
    std::optional<EntryError> lastError;
    for (const auto &answer : invocation.entries_.sendToAll("/v1/traces/" + id)) {
        if (const auto *error = std::get_if<EntryError>(&answer)) {
            lastError = *error;
        } else {
            lists.push_back(listOf(std::get<0>(answer), "spans"));
        }
    }
    const auto spans = mergeSpans(lists);
    if (spans.empty()) {
        return reportError(invocation.terminal_, lastError.value_or(EntryError{"not_found", "no entry has spans of trace " + id, "no", {}, nullptr}));
    }
    return report(invocation.terminal_, {{"spans", spans}}, [&] {
        writeTimeline(invocation.terminal_.out_, spans);
    });
}
} // namespace

auto inspectCommands() -> std::vector<Command>
{
    return {
        explain("job", "explain the state of a job, and what would change it"),
        explain("team", "show guarantees, quota and usage of a team"),
        explain("zone", "show state, capacity and owner of an availability zone"),
        {{"status"}, {}, "show the state of the system as known to an entry", "", {}, true, runStatus},
        {{"trace"},
         {"ID"},
         "show the spans of a request or job as a timeline",
         "Every --entry is queried for the spans that it recorded.\n",
         {},
         true,
         runTrace},
    };
}
} // namespace Marjoramfold::Ctl
