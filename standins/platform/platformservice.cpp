#include "standins/platform/platformservice.h"

#include "marjoramfold/log/jsonfields.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace Marjoramfold::Standin
{
namespace
{
using Json = nlohmann::json;

/// Limit of the time that a read may wait; below the idle timeouts of common HTTP servers.
constexpr std::int64_t MaxWaitMs = 30'000;
constexpr std::int64_t MaxPageRecords = 10'000;
/// Limit of the page size, after which a page ends; the reader requests the rest.
constexpr std::size_t MaxPageBytes = 8U << 20U;

auto jsonAnswer(int status, const Json &body) -> HttpServerResponse
{
    return {status, {}, body.dump(), "application/json", false};
}

auto refusal(int status, std::string_view reason) -> HttpServerResponse
{
    return jsonAnswer(status, {{"error", reason}});
}

/// A non-negative integer of the query, the fallback when it is absent, or no value when it is malformed.
auto integerParameter(std::string_view target, std::string_view name, std::int64_t fallback) -> std::optional<std::int64_t>
{
    const auto text = queryParameter(target, name);
    if (!text) {
        return fallback;
    }
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    return error == std::errc() && end == text->data() + text->size() && value >= 0 ? std::optional(value) : std::nullopt;
}

/// Stream name in a path /v1/streams/S/records; empty for other paths.
auto streamOf(std::string_view path) -> std::string
{
    constexpr std::string_view Prefix = "/v1/streams/";
    constexpr std::string_view Suffix = "/records";
    if (path.size() <= Prefix.size() + Suffix.size() || path.substr(0, Prefix.size()) != Prefix || path.substr(path.size() - Suffix.size()) != Suffix) {
        return {};
    }
    return std::string(path.substr(Prefix.size(), path.size() - Prefix.size() - Suffix.size()));
}

/// Encodes a page. Record bodies are stored as JSON text and are copied unchanged.
auto pageText(const StoredPage &page) -> std::string
{
    auto text = "{\"first\":" + std::to_string(page.first_) + ",\"end\":" + std::to_string(page.end_) + ",\"records\":[";
    auto separator = "";
    for (const auto *record : page.records_) {
        text += separator;
        text += "{\"offset\":" + std::to_string(record->offset_) + ",\"time_ms\":" + std::to_string(toUnixMilliseconds(record->time_).count())
            + ",\"body\":" + record->body_ + "}";
        separator = ",";
        if (text.size() > MaxPageBytes) {
            break;
        }
    }
    return text + "]}";
}
} // namespace

PlatformService::PlatformService(asio::io_context &context, PlatformOptions options)
    : context_(context)
    , options_(options)
    , log_(options.retention_)
    , random_(options.seed_)
    , appendTokens_(options.maxAppendsPerSecond_)
    , tokensAt_(std::chrono::steady_clock::now())
{
}

PlatformService::~PlatformService()
{
    *alive_ = false;
}

auto PlatformService::handle(HttpServerRequest request, HttpResponder respond) -> void
{
    const auto path = pathOf(request.target_);
    if (path == "/v1/instances" && request.method_ == "GET") {
        listInstances(request, respond);
    } else if (path.substr(0, 14) == "/v1/instances/") {
        putInstance(request, respond);
    } else if (path == "/v1/faults" && request.method_ == "POST") {
        setFaults(request, respond);
    } else if (streamOf(path).empty()) {
        respond(refusal(404, "no such resource"));
    } else if (faults_.delay_.count() == 0) {
        handleLog(request, respond);
    } else {
        const auto timer = std::make_shared<asio::steady_timer>(context_, faults_.delay_);
        timer->async_wait([this, timer, alive = alive_, request = std::move(request), respond = std::move(respond)](const std::error_code & /*error*/) {
            if (*alive) {
                handleLog(request, respond);
            }
        });
    }
}

auto PlatformService::dropAll(const std::string &stream) -> void
{
    log_.dropAll(stream);
}

auto PlatformService::faults() -> PlatformFaults &
{
    return faults_;
}

auto PlatformService::instances() -> InstanceRegistry &
{
    return instances_;
}

auto PlatformService::handleLog(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto stream = streamOf(pathOf(request.target_));
    if (faults_.outage_) {
        respond(refusal(503, "outage"));
    } else if (request.method_ == "POST") {
        append(stream, request, respond);
    } else if (request.method_ == "GET") {
        read(stream, request, respond);
    } else {
        respond(refusal(405, "GET and POST are allowed"));
    }
}

auto PlatformService::append(const std::string &stream, const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto json = Json::parse(request.body_, nullptr, false);
    if (!json.is_object() || !json.contains("records") || !json["records"].is_array() || json["records"].empty()) {
        respond(refusal(400, "the body must be an object with a non-empty array 'records'"));
        return;
    }
    std::vector<std::string> bodies;
    for (const auto &record : json["records"]) {
        if (!record.is_object()) {
            respond(refusal(400, "each record must be an object"));
            return;
        }
        bodies.push_back(record.dump());
    }
    if (isOverRate(bodies.size())) {
        respond(refusal(503, "append rate exceeded"));
        return;
    }
    const auto first = log_.append(stream, std::move(bodies), std::chrono::system_clock::now());
    completePendingReads(stream);
    if (shouldLoseAnswer()) {
        // The append is stored, but the caller does not learn its offset: the body is empty and the connection is closed.
        respond({500, {}, "", "text/plain", true});
        return;
    }
    respond(makeLogAnswer(Json{{"first_offset", first}}.dump()));
}

auto PlatformService::read(const std::string &stream, const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto from = integerParameter(request.target_, "from", 0);
    const auto max = integerParameter(request.target_, "max", 1'000);
    const auto wait = integerParameter(request.target_, "wait_ms", 0);
    if (!from || !max || !wait) {
        respond(refusal(400, "from, max and wait_ms must be non-negative integers"));
        return;
    }
    const auto limit = static_cast<std::size_t>(std::clamp<std::int64_t>(*max, 1, MaxPageRecords));
    auto pending = std::make_shared<PendingRead>(PendingRead{stream, static_cast<Offset>(*from), limit, respond, asio::steady_timer(context_)});
    const auto page = log_.read(stream, pending->from_, limit, std::chrono::system_clock::now());
    const auto isAtEnd = isOk(page) && valueOf(page).records_.empty();
    if (!isAtEnd || *wait == 0) {
        answerRead(*pending);
        return;
    }
    pendingReads_.push_back(pending);
    pending->timer_.expires_after(std::chrono::milliseconds(std::min(*wait, MaxWaitMs)));
    pending->timer_.async_wait([this, pending, alive = alive_](const std::error_code &error) {
        // An append may complete the read after its timer has expired but before this handler runs.
        if (*alive && !error && pendingReads_.remove(pending) > 0) {
            answerRead(*pending);
        }
    });
}

auto PlatformService::answerRead(const PendingRead &pending) -> void
{
    if (faults_.outage_) {
        pending.respond_(refusal(503, "outage"));
        return;
    }
    const auto page = log_.read(pending.stream_, pending.from_, pending.max_, std::chrono::system_clock::now());
    if (!isOk(page)) {
        pending.respond_(jsonAnswer(410, {{"first", std::stoull(errorOf(page).message_)}}));
        return;
    }
    pending.respond_(makeLogAnswer(pageText(valueOf(page))));
}

auto PlatformService::completePendingReads(const std::string &stream) -> void
{
    std::list<PendingReadPointer> completed;
    for (auto it = pendingReads_.begin(); it != pendingReads_.end();) {
        const auto next = std::next(it);
        if ((*it)->stream_ == stream) {
            completed.splice(completed.end(), pendingReads_, it);
        }
        it = next;
    }
    for (const auto &pending : completed) {
        pending->timer_.cancel();
        answerRead(*pending);
    }
}

auto PlatformService::listInstances(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    auto list = Json::array();
    for (const auto &instance : instances_.list(std::chrono::steady_clock::now())) {
        list.push_back(Json::parse(encodeInstance(instance)));
    }
    const auto asOf = toUnixMilliseconds(std::chrono::system_clock::now()) - instances_.lag();
    const auto tag = "\"" + std::to_string(std::hash<std::string>()(list.dump())) + "\"";
    const HttpHeaders headers{{"ETag", tag}, {"X-As-Of-Ms", std::to_string(asOf.count())}};
    if (findHeader(request.headers_, "If-None-Match") == tag) {
        respond({304, headers, ""});
        return;
    }
    auto answer = jsonAnswer(200, {{"as_of_ms", asOf.count()}, {"instances", std::move(list)}});
    answer.headers_.insert(answer.headers_.end(), headers.begin(), headers.end());
    respond(std::move(answer));
}

auto PlatformService::putInstance(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto id = std::string(pathOf(request.target_).substr(14));
    const auto now = std::chrono::steady_clock::now();
    if (request.method_ == "DELETE") {
        instances_.remove(id, now);
        respond(jsonAnswer(200, Json::object()));
        return;
    }
    auto json = Json::parse(request.body_, nullptr, false);
    if (request.method_ != "PUT" || !json.is_object()) {
        respond(refusal(400, "the method must be DELETE, or PUT with a JSON object"));
        return;
    }
    json["id"] = id;
    const auto parsed = decodeInstanceList(Json{{"as_of_ms", 0}, {"instances", Json::array({json})}}.dump());
    if (!isOk(parsed) || valueOf(parsed).instances_.empty()) {
        respond(refusal(400, "role, availability_zone, address or state is missing or invalid"));
        return;
    }
    instances_.announce(valueOf(parsed).instances_.front(), now);
    respond(jsonAnswer(200, Json::object()));
}

auto PlatformService::setFaults(const HttpServerRequest &request, const HttpResponder &respond) -> void
{
    const auto json = Json::parse(request.body_, nullptr, false);
    if (!json.is_object()) {
        respond(refusal(400, "the body must be a JSON object"));
        return;
    }
    try {
        faults_.outage_ = json.value("outage", faults_.outage_);
        faults_.appendAnswerLoss_ = json.value("append_answer_loss", faults_.appendAnswerLoss_);
        faults_.appendAnswerLossNext_ = json.value("append_answer_loss_next", faults_.appendAnswerLossNext_);
        faults_.malformedNext_ = json.value("malformed_next", faults_.malformedNext_);
        faults_.delay_ = std::chrono::milliseconds(json.value("delay_ms", faults_.delay_.count()));
        instances_.setLag(std::chrono::milliseconds(json.value("list_lag_ms", instances_.lag().count())));
    } catch (const Json::exception &error) {
        respond(refusal(400, error.what()));
        return;
    }
    if (faults_.outage_) {
        for (const auto &pending : std::exchange(pendingReads_, {})) {
            pending->timer_.cancel();
            answerRead(*pending);
        }
    }
    respond(jsonAnswer(200,
                       {{"outage", faults_.outage_},
                        {"append_answer_loss", faults_.appendAnswerLoss_},
                        {"append_answer_loss_next", faults_.appendAnswerLossNext_},
                        {"malformed_next", faults_.malformedNext_},
                        {"delay_ms", faults_.delay_.count()},
                        {"list_lag_ms", instances_.lag().count()}}));
}

auto PlatformService::isOverRate(std::size_t records) -> bool
{
    if (options_.maxAppendsPerSecond_ == 0) {
        return false;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto limit = static_cast<double>(options_.maxAppendsPerSecond_);
    appendTokens_ = std::min(limit, appendTokens_ + limit * std::chrono::duration<double>(now - tokensAt_).count());
    tokensAt_ = now;
    if (appendTokens_ < static_cast<double>(records)) {
        return true;
    }
    appendTokens_ -= static_cast<double>(records);
    return false;
}

auto PlatformService::shouldLoseAnswer() -> bool
{
    if (faults_.appendAnswerLossNext_ > 0) {
        --faults_.appendAnswerLossNext_;
        return true;
    }
    return std::uniform_real_distribution<double>(0, 1)(random_) < faults_.appendAnswerLoss_;
}

auto PlatformService::makeLogAnswer(std::string body) -> HttpServerResponse
{
    if (faults_.malformedNext_ > 0) {
        --faults_.malformedNext_;
        body.resize(body.size() / 2);
    }
    return {200, {}, std::move(body), "application/json", false};
}
} // namespace Marjoramfold::Standin
