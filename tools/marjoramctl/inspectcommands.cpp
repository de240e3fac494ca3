#include "commands.h"
#include "marjoramfold/core/jobjson.h"
#include "timeline.h"

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

auto showAnswer(Invocation &call, const std::string &target) -> ExitCode
{
    const auto answer = call.entries_.send({"GET", target, nullptr, Repeat::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(call.terminal_, *error);
    }
    return report(call.terminal_, std::get<0>(answer), [&] {
        writeReadable(call.terminal_.out_, std::get<0>(answer));
    });
}

/// Makes the command that explains one kind of thing.
auto explain(const std::string &kind, const std::string &summary) -> Command
{
    return {{"explain", kind}, {"ID"}, summary, "", {}, true, [kind](Invocation &call) {
                const auto &id = call.arguments_.front();
                if (!isPlainIdentifier(id)) {
                    return reportWrongUse(call.terminal_, "'" + id + "' is no " + kind + " id");
                }
                return showAnswer(call, "/v1/explain/" + kind + "/" + id);
            }};
}

auto runStatus(Invocation &call) -> ExitCode
{
    return showAnswer(call, "/v1/status");
}

/// Each entry keeps the spans of its own hops, so all are asked.
auto runTrace(Invocation &call) -> ExitCode
{
    const auto &id = call.arguments_.front();
    if (!isPlainIdentifier(id)) {
        return reportWrongUse(call.terminal_, "'" + id + "' is no trace id");
    }
    std::vector<json> lists;
    std::optional<EntryError> lastError;
    for (const auto &answer : call.entries_.sendToAll("/v1/traces/" + id)) {
        if (const auto *error = std::get_if<EntryError>(&answer)) {
            lastError = *error;
        } else {
            lists.push_back(listOf(std::get<0>(answer), "spans"));
        }
    }
    const auto spans = mergeSpans(lists);
    if (spans.empty()) {
        return reportError(call.terminal_, lastError.value_or(EntryError{"not_found", "no entry has spans of trace " + id, "no", {}, nullptr}));
    }
    return report(call.terminal_, {{"spans", spans}}, [&] {
        writeTimeline(call.terminal_.out_, spans);
    });
}
} // namespace

auto inspectCommands() -> std::vector<Command>
{
    return {
        explain("job", "why a job is in its state, and what would change it"),
        explain("team", "guarantees, quota and use of a team"),
        explain("zone", "state, capacity and owner of an availability zone"),
        {{"status"}, {}, "state of the system as an entry sees it", "", {}, true, runStatus},
        {{"trace"}, {"ID"}, "hops of a request or job as a timeline", "Every --entry is asked for its hops.\n", {}, true, runTrace},
    };
}
} // namespace Marjoramfold::Ctl
