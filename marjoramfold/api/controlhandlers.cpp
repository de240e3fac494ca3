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

/// Returns a callback that responds with a JSON document or with an error.
auto jsonResponder(const HttpResponder &respond) -> JsonCallback
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

/// The part of a path after a prefix; empty when the path does not start with the prefix or nothing follows it.
auto pathAfterPrefix(std::string_view path, std::string_view prefix) -> std::optional<std::string>
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
        commands_.cancelJobs_({JobId(std::string(id))}, jsonResponder(respond));
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
        commands_.publishRules_(std::move(command), jsonResponder(respond));
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
    commands_.submitJob_(valueOf(std::move(spec)), findHeader(request.headers_, "traceparent").value_or(""), jsonResponder(respond));
}

auto ControlCommandHandlers::postCancellations(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto json = parseObject(request);
    try {
        std::vector<JobId> jobs;
        for (const auto &id : json.value().at("jobs")) {
            jobs.emplace_back(id.get<std::string>());
        }
        commands_.cancelJobs_(std::move(jobs), jsonResponder(respond));
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
        queries_.ready_(jsonResponder(respond));
    } else if (path == "/metrics") {
        respond({200, {}, queries_.metrics_(), "text/plain; version=0.0.4"});
    } else if (path == "/v1/rules") {
        queries_.rules_(jsonResponder(respond));
    } else if (path == "/v1/rules/history") {
        queries_.rulesHistory_(jsonResponder(respond));
    } else if (path == "/v1/rules/in-force") {
        const auto version = queryParameter(request.target_, "version").value_or("0");
        queries_.rulesInForce_(std::strtoull(version.c_str(), nullptr, 10), jsonResponder(respond));
    } else if (path == "/v1/jobs") {
        queries_.jobs_(jsonResponder(respond));
    } else if (path == "/v1/status") {
        queries_.status_(jsonResponder(respond));
    } else {
        return false;
    }
    return true;
}

auto ControlQueryHandlers::handleItemPath(std::string_view path, const HttpResponder &respond) -> bool
{
    if (const auto job = pathAfterPrefix(path, JobPrefix)) {
        queries_.job_(JobId(*job), jsonResponder(respond));
    } else if (const auto explainedJob = pathAfterPrefix(path, "/v1/explain/job/")) {
        queries_.explainJob_(JobId(*explainedJob), jsonResponder(respond));
    } else if (const auto team = pathAfterPrefix(path, "/v1/explain/team/")) {
        queries_.explainTeam_(TeamId(*team), jsonResponder(respond));
    } else if (const auto zone = pathAfterPrefix(path, "/v1/explain/zone/")) {
        queries_.explainZone_(AvailabilityZoneId(*zone), jsonResponder(respond));
    } else if (const auto trace = pathAfterPrefix(path, "/v1/traces/")) {
        queries_.trace_(*trace, jsonResponder(respond));
    } else {
        return false;
    }
    return true;
}
} // namespace Marjoramfold
