#include "marjoramfold/api/requesthandlers.h"

#include "marjoramfold/api/erroranswer.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace Marjoramfold
{
namespace
{
constexpr std::string_view RequestsPath = "/v1/requests";
constexpr std::string_view RequestKeysPath = "/v1/request-keys";

/// Below the time for which servers keep a connection open while a response is pending.
constexpr std::chrono::milliseconds MaxDeadline{std::chrono::minutes(4)};

auto invalidRequest(std::string message) -> Error
{
    return {ErrorKind::InvalidRequest, std::move(message), std::nullopt};
}

/// Fields of a request before validation.
struct RequestFields {
    std::string team_;
    std::string priority_ = "normal";
    std::optional<std::int64_t> deadlineMs_;
    std::optional<bool> idempotent_;
    std::string key_;
};

auto parseMilliseconds(std::string_view text) -> std::optional<std::int64_t>
{
    std::int64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const auto whole = !text.empty() && parsed.ec == std::errc() && parsed.ptr == end;
    return whole ? std::optional(number) : std::nullopt;
}

auto fieldsFromHeaders(const HttpHeaders &headers) -> Result<RequestFields>
{
    RequestFields fields;
    for (const auto &header : headers) {
        if (sameHeaderName(header.name_, "X-Team")) {
            fields.team_ = header.value_;
        } else if (sameHeaderName(header.name_, "X-Priority")) {
            fields.priority_ = header.value_;
        } else if (sameHeaderName(header.name_, "Idempotency-Key")) {
            fields.key_ = header.value_;
        } else if (sameHeaderName(header.name_, "X-Deadline-Ms")) {
            fields.deadlineMs_ = parseMilliseconds(header.value_);
            if (!fields.deadlineMs_) {
                return invalidRequest("X-Deadline-Ms must be a whole number");
            }
        } else if (sameHeaderName(header.name_, "X-Idempotent")) {
            if (header.value_ != "true" && header.value_ != "false") {
                return invalidRequest("X-Idempotent must be true or false");
            }
            fields.idempotent_ = header.value_ == "true";
        }
    }
    return fields;
}

auto isUnset(const nlohmann::json &body, const char *name) -> bool
{
    return !body.contains(name) || body[name].is_null();
}

auto readText(const nlohmann::json &body, const char *name, std::string &text) -> bool
{
    if (isUnset(body, name)) {
        return true;
    }
    if (!body[name].is_string()) {
        return false;
    }
    text = body[name].get<std::string>();
    return true;
}

auto fieldsFromJson(const nlohmann::json &body, std::string &payload) -> Result<RequestFields>
{
    RequestFields fields;
    if (!readText(body, "team", fields.team_) || !readText(body, "priority", fields.priority_) || !readText(body, "key", fields.key_)) {
        return invalidRequest("team, priority and key must be strings");
    }
    if (!isUnset(body, "deadline_ms")) {
        if (!body["deadline_ms"].is_number_integer()) {
            return invalidRequest("deadline_ms must be a whole number");
        }
        fields.deadlineMs_ = body["deadline_ms"].get<std::int64_t>();
    }
    if (!isUnset(body, "idempotent")) {
        if (!body["idempotent"].is_boolean()) {
            return invalidRequest("idempotent must be true or false");
        }
        fields.idempotent_ = body["idempotent"].get<bool>();
    }
    if (!isUnset(body, "body")) {
        payload = body["body"].is_string() ? body["body"].get<std::string>() : body["body"].dump();
    }
    return fields;
}

/// Validates the fields and copies them to the request.
auto fillRequest(RequestFields fields, RoutedRequest &request) -> std::optional<Error>
{
    if (fields.team_.empty()) {
        return invalidRequest("the request has no team");
    }
    const auto priority = priorityClassFromString(fields.priority_);
    if (!priority) {
        return invalidRequest("unknown priority '" + fields.priority_ + "'");
    }
    if (fields.deadlineMs_) {
        if (*fields.deadlineMs_ < 0 || *fields.deadlineMs_ > MaxDeadline.count()) {
            return invalidRequest("the deadline must be between 0 and " + std::to_string(MaxDeadline.count()) + " ms");
        }
        request.timeLeft_ = std::chrono::milliseconds(*fields.deadlineMs_);
    }
    request.team_ = TeamId(std::move(fields.team_));
    request.priority_ = *priority;
    request.idempotent_ = fields.idempotent_.value_or(fields.key_.empty());
    request.key_ = std::move(fields.key_);
    return std::nullopt;
}

auto toResponse(RoutedAnswer answer) -> HttpServerResponse
{
    HttpServerResponse response;
    response.status_ = answer.status_;
    response.body_ = std::move(answer.body_);
    response.contentType_ = std::move(answer.contentType_);
    response.headers_.push_back({"X-Target", answer.target_.value()});
    return response;
}

auto toResponse(Result<RoutedAnswer> result) -> HttpServerResponse
{
    return isOk(result) ? toResponse(valueOf(std::move(result))) : errorResponse(errorOf(result));
}

auto toResponse(const KeyStatus &status) -> HttpServerResponse
{
    switch (status.state_) {
    case KeyStatus::State::Answered:
        return toResponse(*status.answer_);
    case KeyStatus::State::InProgress: {
        HttpServerResponse response;
        constexpr int Accepted = 202;
        response.status_ = Accepted;
        response.headers_.push_back({"X-Request-State", "in_progress"});
        response.body_ = R"({"state":"in_progress"})";
        return response;
    }
    case KeyStatus::State::NotFound:
        return errorResponse({ErrorKind::NotFound, "no request with this key was found", std::nullopt});
    case KeyStatus::State::Unknown:
    case KeyStatus::State::OwnedByOther:
        break;
    }
    return errorResponse({ErrorKind::MaybeRan, "the request of this key may have run, but no answer is stored", std::nullopt});
}
} // namespace

auto parseRequest(HttpServerRequest request) -> Result<RoutedRequest>
{
    RoutedRequest routed;
    Result<RequestFields> fields;
    if (findHeader(request.headers_, "X-Team")) {
        fields = fieldsFromHeaders(request.headers_);
        routed.contentType_ = findHeader(request.headers_, "Content-Type").value_or("application/octet-stream");
        routed.body_ = std::move(request.body_);
    } else {
        const auto body = nlohmann::json::parse(request.body_, nullptr, false);
        if (!body.is_object()) {
            return invalidRequest("without the header X-Team the body must be a JSON object");
        }
        fields = fieldsFromJson(body, routed.body_);
    }
    if (!isOk(fields)) {
        return errorOf(fields);
    }
    if (const auto error = fillRequest(valueOf(std::move(fields)), routed)) {
        return *error;
    }
    routed.traceParent_ = findHeader(request.headers_, "traceparent").value_or("");
    return routed;
}

RequestCommandHandlers::RequestCommandHandlers(RouterGroup &routers, std::size_t threadIndex)
    : routers_(routers)
    , threadIndex_(threadIndex)
{
}

auto RequestCommandHandlers::postRequest(HttpServerRequest request, const HttpResponder &respond) -> void
{
    auto routed = parseRequest(std::move(request));
    if (!isOk(routed)) {
        respond(errorResponse(errorOf(routed)));
        return;
    }
    routers_.submit(threadIndex_, valueOf(std::move(routed)), [respond](Result<RoutedAnswer> result) {
        respond(toResponse(std::move(result)));
    });
}

auto RequestCommandHandlers::postRequestKey(const HttpServerRequest & /*request*/, const HttpResponder &respond) -> void
{
    const auto key = routers_.issueKey();
    if (!isOk(key)) {
        respond(errorResponse(errorOf(key)));
        return;
    }
    HttpServerResponse response;
    constexpr int Created = 201;
    response.status_ = Created;
    response.body_ = nlohmann::json{{"key", valueOf(key)}}.dump();
    respond(std::move(response));
}

RequestQueryHandlers::RequestQueryHandlers(RouterGroup &routers, std::size_t threadIndex)
    : routers_(routers)
    , threadIndex_(threadIndex)
{
}

auto RequestQueryHandlers::getRequest(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto path = pathOf(request.target_);
    auto key = std::string(path.substr(RequestsPath.size() + 1));
    routers_.queryKey(threadIndex_, std::move(key), false, [respond](const KeyStatus &status) {
        respond(toResponse(status));
    });
}

auto handleRequestPath(RequestCommandHandlers &commands, RequestQueryHandlers &queries, HttpServerRequest &request, const HttpResponder &respond) -> bool
{
    const auto path = pathOf(request.target_);
    const auto isKeyQueryPath = path.size() > RequestsPath.size() + 1 && path.starts_with(RequestsPath) && path[RequestsPath.size()] == '/';
    if (path != RequestsPath && path != RequestKeysPath && !isKeyQueryPath) {
        return false;
    }
    const auto *const method = isKeyQueryPath ? "GET" : "POST";
    if (request.method_ != method) {
        respond(errorResponse(invalidRequest(request.method_ + " is not supported for this path")));
    } else if (isKeyQueryPath) {
        queries.getRequest(request, respond);
    } else if (path == RequestKeysPath) {
        commands.postRequestKey(request, respond);
    } else {
        commands.postRequest(std::move(request), respond);
    }
    return true;
}
} // namespace Marjoramfold
