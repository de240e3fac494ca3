#include "commands.h"
#include "jobfile.h"
#include "marjoramfold/core/jobjson.h"

#include <thread>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

/// Interval of the questions for a job's state.
constexpr std::chrono::milliseconds StateInterval{500};

auto runSubmit(Invocation &call) -> ExitCode
{
    const auto &path = call.arguments_.front();
    const auto content = readFile(path);
    if (!content) {
        return reportWrongUse(call.terminal_, path + ": cannot be read");
    }
    const JobId id(call.options_.id_.empty() ? makeId("job-") : call.options_.id_);
    const auto parsed = parseJobFile(*content, id);
    if (const auto *error = std::get_if<JobFileError>(&parsed)) {
        return reportWrongUse(call.terminal_, toString(path, *error));
    }
    const auto answer = call.entries_.send({"POST", "/v1/jobs", {{"job", toJson(std::get<JobSpec>(parsed))}}, Repeat::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        if (error->ran_ != "no" && !call.terminal_.json_) {
            call.terminal_.err_ << "marjoramctl: to find out, repeat with --id=" << id.value() << "; a job id is accepted once only\n";
        }
        return reportError(call.terminal_, *error);
    }
    auto result = std::get<0>(answer);
    if (result.is_object()) {
        result["id"] = id.value();
    }
    return report(call.terminal_, result, [&] {
        call.terminal_.out_ << id.value() << '\n';
    });
}

auto runList(Invocation &call) -> ExitCode
{
    const auto answer = call.entries_.send({"GET", "/v1/jobs", nullptr, Repeat::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(call.terminal_, *error);
    }
    return report(call.terminal_, std::get<0>(answer), [&] {
        std::vector<std::vector<std::string>> rows;
        for (const auto &job : listOf(std::get<0>(answer), "jobs")) {
            // The specification may stand in an object of its own.
            const auto &spec = job.is_object() && job.contains("job") ? job["job"] : job;
            rows.push_back({textOr(job, "id", textOr(spec, "id", "-")),
                            textOr(spec, "team", "-"),
                            textOr(spec, "name", "-"),
                            textOr(spec, "gang_size", "-"),
                            textOr(job, "state", "-"),
                            textOr(job, "availability_zone", "-"),
                            textOr(job, "reason", "")});
        }
        writeTable(call.terminal_.out_, {"ID", "TEAM", "NAME", "GANG", "STATE", "ZONE", "REASON"}, rows);
    });
}

/// The path of a job, or nothing after writing that the id is malformed.
auto jobPath(Invocation &call) -> std::optional<std::string>
{
    const auto &id = call.arguments_.front();
    if (!isPlainIdentifier(id)) {
        reportWrongUse(call.terminal_, "'" + id + "' is no job id");
        return std::nullopt;
    }
    return "/v1/jobs/" + id;
}

auto runShow(Invocation &call) -> ExitCode
{
    const auto path = jobPath(call);
    if (!path) {
        return ExitCode::WrongUse;
    }
    const auto answer = call.entries_.send({"GET", *path, nullptr, Repeat::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(call.terminal_, *error);
    }
    return report(call.terminal_, std::get<0>(answer), [&] {
        writeReadable(call.terminal_.out_, std::get<0>(answer));
    });
}

auto runWait(Invocation &call) -> ExitCode
{
    const auto path = jobPath(call);
    if (!path) {
        return ExitCode::WrongUse;
    }
    const auto end = std::chrono::steady_clock::now() + call.options_.wait_;
    std::string lastState;
    while (true) {
        const auto answer = call.entries_.send({"GET", *path, nullptr, Repeat::Safe});
        const auto *error = std::get_if<EntryError>(&answer);
        // An entry that is being replaced must not end the waiting; a job that does not exist must.
        const auto isOver = std::chrono::steady_clock::now() >= end;
        if (error != nullptr && (isOver || error->kind_ == "not_found")) {
            return reportError(call.terminal_, *error);
        }
        if (error == nullptr) {
            const auto &job = std::get<0>(answer);
            const auto state = textOr(job, "state", "");
            if (state != lastState && !call.terminal_.json_) {
                call.terminal_.out_ << state << '\n' << std::flush;
            }
            lastState = state;
            const auto parsed = jobStateFromString(state);
            if (parsed && isFinal(*parsed)) {
                report(call.terminal_, job, [&] {
                    if (const auto reason = textOr(job, "reason", ""); !reason.empty() && reason != "-") {
                        call.terminal_.out_ << reason << '\n';
                    }
                });
                return *parsed == JobState::Finished ? ExitCode::Done : ExitCode::Refused;
            }
        }
        if (isOver) {
            return reportError(call.terminal_, {"timeout", "the job has not ended within --wait_s", "", {}, nullptr});
        }
        std::this_thread::sleep_for(StateInterval);
    }
}

auto runCancel(Invocation &call) -> ExitCode
{
    const auto path = jobPath(call);
    if (!path) {
        return ExitCode::WrongUse;
    }
    const auto answer = call.entries_.send({"POST", *path + "/cancel", json::object(), Repeat::Never});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(call.terminal_, *error);
    }
    return report(call.terminal_, std::get<0>(answer), [&] {
        call.terminal_.out_ << "cancelled " << call.arguments_.front() << '\n';
    });
}
} // namespace

auto jobCommands() -> std::vector<Command>
{
    return {
        {{"job", "submit"},
         {"FILE"},
         "submit the job of a TOML file; prints its id",
         "Keys: name, team, gang_size, [task] accelerators, cores, memory_mb, adjacency (none, worker, rack), priority\n"
         "(batch, normal, urgent), declared_run_time_s, availability_zones, checkpointable, grace_s.\n",
         {"id"},
         true,
         runSubmit},
        {{"job", "list"}, {}, "list jobs", "", {}, true, runList},
        {{"job", "show"}, {"ID"}, "show a job", "", {}, true, runShow},
        {{"job", "wait"},
         {"ID"},
         "wait until a job has ended",
         "Exit code 0 when it finished, 1 when it failed or was cancelled.\n",
         {"wait_s"},
         true,
         runWait},
        {{"job", "cancel"}, {"ID"}, "cancel a job", "", {}, true, runCancel},
    };
}
} // namespace Marjoramfold::Ctl
