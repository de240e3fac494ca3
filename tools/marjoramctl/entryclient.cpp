#include "entryclient.h"

#include "marjoramfold/http/httpclient.h"
#include "terminal.h"

namespace Marjoramfold::Ctl
{
namespace
{
using nlohmann::json;

auto textOf(const json &object, const char *key, const std::string &fallback) -> std::string
{
    const auto found = object.find(key);
    return found != object.end() && found->is_string() ? found->get<std::string>() : fallback;
}

/// Reads the error object of a response; a body of another form gives a "malformed" error that names the HTTP status.
auto errorFromResponse(const HttpClientResponse &response) -> EntryError
{
    const auto body = json::parse(response.body_, nullptr, false);
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object()) {
        return {"malformed", "the entry answered with status " + std::to_string(response.status_) + " and without an error object", "maybe", {}, nullptr};
    }
    const auto &error = body["error"];
    EntryError result{textOf(error, "kind", "internal"), textOf(error, "message", ""), textOf(error, "ran", "maybe"), {}, error};
    if (const auto delay = error.find("retry_after_ms"); delay != error.end() && delay->is_number_integer()) {
        result.retryAfter_ = std::chrono::milliseconds(delay->get<std::int64_t>());
    }
    return result;
}

auto toEntryError(const Error &error) -> EntryError
{
    const auto &answer = errorAnswer(error.kind_);
    return {std::string(answer.name_), error.message_, std::string(toString(answer.ran_)), {}, nullptr};
}

auto isRetryable(const EntryError &error) -> bool
{
    const auto kind = errorKindFromName(error.kind_);
    return kind && errorAnswer(*kind).retryable_;
}
} // namespace

EntryClient::EntryClient(std::vector<std::string> entries, std::chrono::milliseconds timeout)
    : entries_(std::move(entries))
    , timeout_(timeout)
{
}

auto EntryClient::attempt(const std::string &entry, const EntryRequest &request) const -> Attempt
{
    HttpClientRequest http;
    http.method_ = request.method_;
    http.address_ = entry;
    http.target_ = request.target_;
    http.timeout_ = timeout_;
    if (!request.body_.is_null()) {
        http.headers_.push_back({"Content-Type", "application/json"});
        http.body_ = request.body_.dump();
    }
    const auto result = sendAndWait(std::move(http));
    if (!isOk(result)) {
        auto error = toEntryError(errorOf(result));
        error.message_ = entry + ": " + error.message_;
        const auto tryNext = error.ran_ == "no" || request.retry_ == Retry::Safe;
        return {std::move(error), tryNext};
    }
    const auto &response = valueOf(result);
    if (response.status_ >= 200 && response.status_ < 300) {
        auto body = response.body_.empty() ? json::object() : json::parse(response.body_, nullptr, false);
        if (!body.is_discarded()) {
            return {std::move(body), false};
        }
        return {EntryError{"malformed", entry + ": the answer is not valid JSON", "maybe", {}, nullptr}, request.retry_ == Retry::Safe};
    }
    auto error = errorFromResponse(response);
    const auto tryNext = (error.ran_ == "no" && isRetryable(error)) || (error.ran_ == "maybe" && request.retry_ == Retry::Safe);
    return {std::move(error), tryNext};
}

auto EntryClient::send(const EntryRequest &request) -> EntryAnswer
{
    EntryAnswer last = EntryError{"invalid_request", "no entry was given", "no", {}, nullptr};
    // After an attempt that may have run, a "not run" from another entry does not prove that the work did not run.
    auto mayHaveRun = false;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const auto index = (preferred_ + i) % entries_.size();
        auto result = attempt(entries_[index], request);
        if (result.answer_.index() == 0) {
            preferred_ = index;
            return result.answer_;
        }
        auto &error = std::get<EntryError>(result.answer_);
        mayHaveRun = mayHaveRun || error.ran_ != "no";
        if (mayHaveRun && error.ran_ == "no") {
            error.ran_ = "maybe";
        }
        last = std::move(result.answer_);
        if (!result.tryNext_) {
            break;
        }
    }
    return last;
}

auto EntryClient::sendToAll(const std::string &target) -> std::vector<EntryAnswer>
{
    std::vector<EntryAnswer> answers;
    for (const auto &entry : entries_) {
        answers.push_back(attempt(entry, {"GET", target, nullptr, Retry::Safe}).answer_);
    }
    return answers;
}

auto toJson(const EntryError &error) -> json
{
    json object{{"kind", error.kind_}, {"message", error.message_}, {"ran", error.ran_}};
    if (error.retryAfter_.count() > 0) {
        object["retry_after_ms"] = error.retryAfter_.count();
    }
    if (error.details_.is_object() && error.details_.contains("collisions")) {
        object["collisions"] = error.details_["collisions"];
    }
    return {{"error", std::move(object)}};
}

auto toText(const EntryError &error) -> std::string
{
    const auto *ran = error.ran_ == "no" ? " (not run)" : error.ran_ == "maybe" ? " (may have run)" : error.ran_ == "yes" ? " (ran)" : "";
    auto text = error.kind_ + ran + ": " + error.message_;
    if (error.retryAfter_.count() > 0) {
        text += "; try again in " + std::to_string(error.retryAfter_.count()) + " ms";
    }
    return printableLines(text);
}
} // namespace Marjoramfold::Ctl
