#include "marjoramfold/log/httplogclient.h"

#include "marjoramfold/log/jsonfields.h"

#include <utility>

namespace Marjoramfold
{
namespace
{
using Json = nlohmann::json;

auto malformed(std::string message) -> Error
{
    return {ErrorKind::Malformed, std::move(message), std::nullopt};
}

/// Error of an exchange without a response. Without a connection, nothing was appended.
auto transportError(const Error &error) -> Error
{
    return error.kind_ == ErrorKind::ConnectFailed ? Error{ErrorKind::LogUnavailable, error.message_, error.retryAfter_} : error;
}

/// Error for the status of a response that is not a success.
auto statusError(const HttpClientResponse &response) -> Error
{
    const auto message = "the log responded with status " + std::to_string(response.status_) + ": " + response.body_.substr(0, 200);
    if (response.status_ == 503) {
        return {ErrorKind::LogUnavailable, message, std::nullopt};
    }
    if (response.status_ == 410) {
        return {ErrorKind::OffsetExpired, message, std::nullopt};
    }
    if (response.status_ >= 400 && response.status_ < 500) {
        return {ErrorKind::InvalidRequest, message, std::nullopt};
    }
    return {ErrorKind::TransportFailed, message, std::nullopt};
}

/// Body of a successful response.
auto successBody(const Result<HttpClientResponse> &result) -> Result<Json>
{
    if (!isOk(result)) {
        return transportError(errorOf(result));
    }
    const auto &response = valueOf(result);
    if (response.status_ != 200) {
        return statusError(response);
    }
    auto body = Json::parse(response.body_, nullptr, false);
    if (body.is_discarded()) {
        return malformed("the log's response is not valid JSON");
    }
    return body;
}

auto parseAppendResponse(const Result<HttpClientResponse> &result) -> Result<Offset>
{
    const auto body = successBody(result);
    if (!isOk(body)) {
        return errorOf(body);
    }
    JsonFields fields(valueOf(body));
    const auto first = fields.offset("first_offset");
    if (fields.error()) {
        return *fields.error();
    }
    return first;
}

auto readRecord(const Json &item, JsonFields &page) -> LogRecord
{
    JsonFields fields(item);
    LogRecord record{fields.offset("offset"), fromUnixMilliseconds(fields.milliseconds("time_ms")), {}};
    if (fields.has("body")) {
        record.body_ = item["body"];
    } else {
        fields.fail("body", "is missing");
    }
    page.copyErrorFrom(fields);
    return record;
}

auto parseReadResponse(const Result<HttpClientResponse> &result, Offset from) -> Result<LogPage>
{
    const auto body = successBody(result);
    if (!isOk(body)) {
        return errorOf(body);
    }
    JsonFields fields(valueOf(body));
    LogPage page{fields.offset("first"), fields.offset("end"), {}};
    for (const auto &item : fields.array("records")) {
        page.records_.push_back(readRecord(item, fields));
    }
    if (fields.error()) {
        return *fields.error();
    }

    // Readers rely on records in order, without gaps, within the bounds of the stream.
    auto next = from == 0 ? page.first_ : from;
    for (const auto &record : page.records_) {
        if (record.offset_ != next++) {
            return malformed("offset " + std::to_string(record.offset_) + " in the log's response is out of order");
        }
    }
    if (next > page.end_ || page.first_ > page.end_) {
        return malformed("the log's response gives the end offset " + std::to_string(page.end_) + ", before offset " + std::to_string(next));
    }
    return page;
}
} // namespace

HttpLogClient::HttpLogClient(HttpClient &http, HttpLogClientOptions options)
    : http_(http)
    , options_(std::move(options))
{
}

auto HttpLogClient::append(LogStream stream, std::vector<nlohmann::json> bodies, std::function<void(Result<Offset>)> done) -> void
{
    HttpClientRequest request;
    request.method_ = "POST";
    request.address_ = options_.address_;
    request.target_ = "/v1/streams/" + toString(stream) + "/records";
    request.headers_ = {{"Content-Type", "application/json"}};
    request.timeout_ = options_.appendTimeout_;
    request.body_ = Json{{"records", std::move(bodies)}}.dump();
    http_.send(std::move(request), [done = std::move(done)](const Result<HttpClientResponse> &result) {
        done(parseAppendResponse(result));
    });
}

auto HttpLogClient::read(LogReadRequest request, std::function<void(Result<LogPage>)> done) -> void
{
    HttpClientRequest message;
    message.address_ = options_.address_;
    message.target_ = "/v1/streams/" + toString(request.stream_) + "/records?from=" + std::to_string(request.from_)
        + "&max=" + std::to_string(request.maxRecords_) + "&wait_ms=" + std::to_string(request.wait_.count());
    message.timeout_ = options_.readTimeout_ + request.wait_;
    http_.send(std::move(message), [done = std::move(done), from = request.from_](const Result<HttpClientResponse> &result) {
        done(parseReadResponse(result, from));
    });
}
} // namespace Marjoramfold
