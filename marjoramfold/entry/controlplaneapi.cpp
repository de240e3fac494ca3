// Control API of ControlPlane: each handler runs its command or query on the control thread.

#include "marjoramfold/entry/controlplane.h"
#include "marjoramfold/entry/controlviews.h"

#include <utility>

namespace Marjoramfold
{
auto ControlPlane::commands() -> ControlCommands
{
    ControlCommands commands;
    commands.publishRules_ = [this](PublishCommand command, JsonCallback done) {
        post([this, command = std::move(command), done = std::move(done)]() mutable {
            rules_.publish(std::move(command), std::move(done));
        });
    };
    commands.submitJob_ = [this](JobSpec spec, const std::string & /*traceParent*/, JsonCallback done) {
        post([this, spec = std::move(spec), done = std::move(done)] {
            submitJob(spec, done);
        });
    };
    commands.cancelJobs_ = [this](std::vector<JobId> jobs, JsonCallback done) {
        post([this, jobs = std::move(jobs), done = std::move(done)]() mutable {
            std::erase_if(jobs, [this](const JobId &job) {
                const auto *status = jobs_.ledger().find(job);
                return status != nullptr && isFinal(status->state_);
            });
            jobs_.cancel(jobs, std::move(done));
        });
    };
    return commands;
}

auto ControlPlane::queries() -> ControlQueries
{
    // Wraps a query so that it runs on the control thread.
    const auto onControl = [this](auto view) {
        return [this, view](JsonCallback done) {
            post([this, view, done = std::move(done)] {
                done(view(ControlViews(*this)));
            });
        };
    };
    const auto onControlFor = [this](auto view) {
        return [this, view](auto subject, JsonCallback done) {
            post([this, view, subject = std::move(subject), done = std::move(done)] {
                done(view(ControlViews(*this), subject));
            });
        };
    };
    ControlQueries queries;
    queries.rules_ = onControl([this](const ControlViews &) {
        return rules_.rulesJson();
    });
    queries.rulesHistory_ = onControl([this](const ControlViews &) {
        return Result<nlohmann::json>(rules_.historyJson());
    });
    queries.rulesInForce_ = onControlFor([](const ControlViews &views, Offset version) {
        return views.rulesInForce(version);
    });
    queries.jobs_ = onControl([](const ControlViews &views) {
        return Result<nlohmann::json>(views.jobs());
    });
    queries.job_ = onControlFor([](const ControlViews &views, const JobId &job) {
        return views.job(job);
    });
    queries.explainJob_ = [this](JobId job, JsonCallback done) {
        post([this, job = std::move(job), done = std::move(done)] {
            explainJob(job, done);
        });
    };
    queries.explainTeam_ = onControlFor([](const ControlViews &views, const TeamId &team) {
        return views.explainTeam(team);
    });
    queries.explainZone_ = onControlFor([](const ControlViews &views, const AvailabilityZoneId &zone) {
        return views.explainZone(zone);
    });
    queries.status_ = onControl([](const ControlViews &views) {
        return Result<nlohmann::json>(views.status());
    });
    queries.trace_ = [this](const std::string &text, const JsonCallback &done) {
        const auto id = parseTraceId(text);
        if (!id) {
            done(Error{ErrorKind::InvalidRequest, "a trace id has 32 lower-case hexadecimal digits", std::nullopt});
            return;
        }
        auto spans = nlohmann::json::array();
        for (const auto &span : tracer_.spansOf(*id)) {
            spans.push_back(toOtlpJson(span));
        }
        done(nlohmann::json{{"spans", std::move(spans)}});
    };
    queries.ready_ = onControl([](const ControlViews &views) {
        return views.ready();
    });
    queries.metrics_ = [this] {
        return metrics_.text();
    };
    return queries;
}
} // namespace Marjoramfold
