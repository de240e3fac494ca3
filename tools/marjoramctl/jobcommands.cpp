#include "commands.h"
#include "jobfile.h"
#include "marjoramfold/core/jobjson.h"

#include <thread>

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

constexpr std::chrono::milliseconds JobStatePollInterval{500};

auto runSubmit(Invocation &invocation) -> ExitCode
{
    const auto &path = invocation.arguments_.front();
    const auto content = readFile(path);
    if (!content) {
        return reportWrongUse(invocation.terminal_, path + ": cannot read the file");
    }
    const JobId id(invocation.options_.id_.empty() ? generateId("job-") : invocation.options_.id_);
    const auto parsed = parseJobFile(*content, id);
    if (const auto *error = std::get_if<JobFileError>(&parsed)) {
        return reportWrongUse(invocation.terminal_, toString(path, *error));
    }
    const auto answer = invocation.entries_.send({"POST", "/v1/jobs", {{"job", toJson(std::get<JobSpec>(parsed))}}, Retry::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        if (error->ran_ != "no" && !invocation.terminal_.json_) {
            invocation.terminal_.err_ << "marjoramctl: to find out whether it ran, repeat with --id=" << id.value() << "; a job id is accepted only once\n";
        }
        return reportError(invocation.terminal_, *error);
    }
    auto result = std::get<0>(answer);
    if (result.is_object()) {
        result["id"] = id.value();
    }
    return report(invocation.terminal_, result, [&] {
        invocation.terminal_.out_ << id.value() << '\n';
    });
}

auto runList(Invocation &invocation) -> ExitCode
{
    const auto answer = invocation.entries_.send({"GET", "/v1/jobs", nullptr, Retry::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(invocation.terminal_, *error);
    }
    return report(invocation.terminal_, std::get<0>(answer), [&] {
        std::vector<std::vector<std::string>> rows;
        for (const auto &job : listOf(std::get<0>(answer), "jobs")) {
            // The specification may be nested in an object "job".
            const auto &spec = job.is_object() && job.contains("job") ? job["job"] : job;
            rows.push_back({textOr(job, "id", textOr(spec, "id", "-")),
                            textOr(spec, "team", "-"),
                            textOr(spec, "name", "-"),
                            textOr(spec, "gang_size", "-"),
                            textOr(job, "state", "-"),
                            textOr(job, "availability_zone", "-"),
                            textOr(job, "reason", "")});
        }
        writeTable(invocation.terminal_.out_, {"ID", "TEAM", "NAME", "GANG", "STATE", "ZONE", "REASON"}, rows);
    });
}

/// The path of a job; reports an invalid id and returns nothing.
auto jobPath(Invocation &invocation) -> std::optional<std::string>
{
    const auto &id = invocation.arguments_.front();
    if (!isPlainIdentifier(id)) {
        reportWrongUse(invocation.terminal_, "'" + id + "' is not a valid job id");
        return std::nullopt;
    }
    return "/v1/jobs/" + id;
}

auto runShow(Invocation &invocation) -> ExitCode
{
    const auto path = jobPath(invocation);
    if (!path) {
        return ExitCode::WrongUse;
    }
    const auto answer = invocation.entries_.send({"GET", *path, nullptr, Retry::Safe});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(invocation.terminal_, *error);
    }
    return report(invocation.terminal_, std::get<0>(answer), [&] {
        writeReadable(invocation.terminal_.out_, std::get<0>(answer));
    });
}

auto runWait(Invocation &invocation) -> ExitCode
{
    const auto path = jobPath(invocation);
    if (!path) {
        return ExitCode::WrongUse;
    }
    const auto deadline = std::chrono::steady_clock::now() + invocation.options_.wait_;
    std::string lastState;
    while (true) {
        const auto answer = invocation.entries_.send({"GET", *path, nullptr, Retry::Safe});
        const auto *error = std::get_if<EntryError>(&answer);
        // Errors of an entry that is being replaced are transient; an unknown job is not.
        const auto timedOut = std::chrono::steady_clock::now() >= deadline;
        if (error != nullptr && (timedOut || error->kind_ == "not_found")) {
            return reportError(invocation.terminal_, *error);
        }
        if (error == nullptr) {
            const auto &job = std::get<0>(answer);
            const auto state = textOr(job, "state", "");
            if (state != lastState && !invocation.terminal_.json_) {
                invocation.terminal_.out_ << state << '\n' << std::flush;
            }
            lastState = state;
            const auto parsed = jobStateFromString(state);
            if (parsed && isFinal(*parsed)) {
                report(invocation.terminal_, job, [&] {
                    if (const auto reason = textOr(job, "reason", ""); !reason.empty() && reason != "-") {
                        invocation.terminal_.out_ << reason << '\n';
                    }
                });
                return *parsed == JobState::Finished ? ExitCode::Done : ExitCode::Refused;
            }
        }
        if (timedOut) {
            return reportError(invocation.terminal_, {"timeout", "the job did not end within --wait_s", "", {}, nullptr});
        }
        std::this_thread::sleep_for(JobStatePollInterval);
    }
}

auto runCancel(Invocation &invocation) -> ExitCode
{
    const auto path = jobPath(invocation);
    if (!path) {
        return ExitCode::WrongUse;
    }
    const auto answer = invocation.entries_.send({"POST", *path + "/cancel", json::object(), Retry::Never});
    if (const auto *error = std::get_if<EntryError>(&answer)) {
        return reportError(invocation.terminal_, *error);
    }
    return report(invocation.terminal_, std::get<0>(answer), [&] {
        invocation.terminal_.out_ << "cancelled " << invocation.arguments_.front() << '\n';
    });
}
} // namespace

auto jobCommands() -> std::vector<Command>
{
    return {
        {{"job", "submit"},
         {"FILE"},
         "submit the job described by a TOML file; prints its id",
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
         "Exit code 0 if the job finished, 1 if it failed, was cancelled or did not end within --wait_s.\n",
         {"wait_s"},
         true,
         runWait},
        {{"job", "cancel"}, {"ID"}, "cancel a job", "", {}, true, runCancel},
    };
}
} // namespace Marjoramfold::Ctl
