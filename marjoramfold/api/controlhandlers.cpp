#include "marjoramfold/api/controlhandlers.h"

#include "marjoramfold/api/erroranswer.h"
#include "marjoramfold/core/jobjson.h"

#include <cstdlib>
#include <utility>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view JobPrefix = "/v1/jobs/";
constexpr std::string_view CancelSuffix = "/cancel";

/// Answers with a document, or with the error that took its place.
auto answerWith(const HttpResponder &respond) -> JsonCallback
{
    return [respond](const Result<nlohmann::json> &result) {
        if (isOk(result)) {
            respond({200, {}, valueOf(result).dump()});
        } else {
            respond(errorResponse(errorOf(result)));
        }
    };
}

auto refuse(const HttpResponder &respond, std::string message) -> void
{
    respond(errorResponse({ErrorKind::InvalidRequest, std::move(message), std::nullopt}));
}

auto parseObject(const HttpServerRequest &request) -> std::optional<nlohmann::json>
{
    auto json = nlohmann::json::parse(request.body_, nullptr, false);
    return json.is_object() ? std::optional(std::move(json)) : std::nullopt;
}

/// The rest of a path after a prefix, if it starts with it and more follows.
auto afterPrefix(std::string_view path, std::string_view prefix) -> std::optional<std::string>
{
    if (!path.starts_with(prefix) || path.size() == prefix.size()) {
        return std::nullopt;
    }
    return std::string(path.substr(prefix.size()));
}
} // namespace

ControlCommandHandlers::ControlCommandHandlers(ControlCommands commands)
    : commands_(std::move(commands))
{
}

auto ControlCommandHandlers::handle(const HttpServerRequest &request, const HttpResponder &respond) -> bool
{
    if (request.method_ != "POST") {
        return false;
    }
    const auto path = pathOf(request.target_);
    if (path == "/v1/rules") {
        postRules(request, respond);
        return true;
    }
    if (path == "/v1/jobs") {
        postJob(request, respond);
        return true;
    }
    if (path == "/v1/job-cancellations") {
        postCancellations(request, respond);
        return true;
    }
    if (path.starts_with(JobPrefix) && path.ends_with(CancelSuffix) && path.size() > JobPrefix.size() + CancelSuffix.size()) {
        const auto id = path.substr(JobPrefix.size(), path.size() - JobPrefix.size() - CancelSuffix.size());
        commands_.cancelJobs_({JobId(std::string(id))}, answerWith(respond));
        return true;
    }
    return false;
}

auto ControlCommandHandlers::postRules(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto json = parseObject(request);
    try {
        PublishCommand command{RecordId(json.value().at("publish_id").get<std::string>()),
                               json->at("base_version").get<Offset>(),
                               json->at("author").get<std::string>(),
                               json->at("text").get<std::string>()};
        if (command.publishId_.isEmpty()) {
            refuse(respond, "publish_id must not be empty");
            return;
        }
        commands_.publishRules_(std::move(command), answerWith(respond));
    } catch (const std::exception &) {
        refuse(respond, "the body must be an object with publish_id, base_version, author and text");
    }
}

auto ControlCommandHandlers::postJob(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto json = parseObject(request);
    if (!json || !json->contains("job")) {
        refuse(respond, "the body must be an object with the key 'job'");
        return;
    }
    auto spec = jobSpecFromJson(json->at("job"));
    if (!isOk(spec)) {
        respond(errorResponse(errorOf(spec)));
        return;
    }
    commands_.submitJob_(valueOf(std::move(spec)), findHeader(request.headers_, "traceparent").value_or(""), answerWith(respond));
}

auto ControlCommandHandlers::postCancellations(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto json = parseObject(request);
    try {
        std::vector<JobId> jobs;
        for (const auto &id : json.value().at("jobs")) {
            jobs.emplace_back(id.get<std::string>());
        }
        commands_.cancelJobs_(std::move(jobs), answerWith(respond));
    } catch (const std::exception &) {
        refuse(respond, "the body must be an object with 'jobs', an array of job ids");
    }
}

ControlQueryHandlers::ControlQueryHandlers(ControlQueries queries)
    : queries_(std::move(queries))
{
}

auto ControlQueryHandlers::handle(const HttpServerRequest &request, const HttpResponder &respond) -> bool
{
    if (request.method_ != "GET") {
        return false;
    }
    const auto path = pathOf(request.target_);
    return handleFixedPath(path, request, respond) || handleItemPath(path, respond);
}

auto ControlQueryHandlers::handleFixedPath(std::string_view path, const HttpServerRequest &request, const HttpResponder &respond) -> bool
{
    if (path == "/healthz") {
        respond({200, {}, R"({"status":"ok"})"});
    } else if (path == "/readyz") {
        queries_.ready_(answerWith(respond));
    } else if (path == "/metrics") {
        respond({200, {}, queries_.metrics_(), "text/plain; version=0.0.4"});
    } else if (path == "/v1/rules") {
        queries_.rules_(answerWith(respond));
    } else if (path == "/v1/rules/history") {
        queries_.rulesHistory_(answerWith(respond));
    } else if (path == "/v1/rules/in-force") {
        const auto version = queryParameter(request.target_, "version").value_or("0");
        queries_.rulesInForce_(std::strtoull(version.c_str(), nullptr, 10), answerWith(respond));
    } else if (path == "/v1/jobs") {
        queries_.jobs_(answerWith(respond));
    } else if (path == "/v1/status") {
        queries_.status_(answerWith(respond));
    } else {
        return false;
    }
    return true;
}

auto ControlQueryHandlers::handleItemPath(std::string_view path, const HttpResponder &respond) -> bool
{
    if (const auto job = afterPrefix(path, JobPrefix)) {
        queries_.job_(JobId(*job), answerWith(respond));
    } else if (const auto explainedJob = afterPrefix(path, "/v1/explain/job/")) {
        queries_.explainJob_(JobId(*explainedJob), answerWith(respond));
    } else if (const auto team = afterPrefix(path, "/v1/explain/team/")) {
        queries_.explainTeam_(TeamId(*team), answerWith(respond));
    } else if (const auto zone = afterPrefix(path, "/v1/explain/zone/")) {
        queries_.explainZone_(AvailabilityZoneId(*zone), answerWith(respond));
    } else if (const auto trace = afterPrefix(path, "/v1/traces/")) {
        queries_.trace_(*trace, answerWith(respond));
    } else {
        return false;
    }
    return true;
}
} // namespace Marjoramfold
