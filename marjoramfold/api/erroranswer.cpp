#include "marjoramfold/api/erroranswer.h"

#include <nlohmann/json.hpp>

namespace Marjoramfold
{
auto errorJson(const Error &error) -> std::string
{
    const auto &answer = errorAnswer(error.kind_);
    nlohmann::json body = {{"kind", answer.name_}, {"message", error.message_}, {"ran", toString(answer.ran_)}};
    if (error.retryAfter_) {
        body["retry_after_ms"] = error.retryAfter_->count();
    }
    // Messages can contain bytes sent by the caller, which may be invalid UTF-8.
    return nlohmann::json{{"error", std::move(body)}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto errorResponse(const Error &error) -> HttpServerResponse
{
    HttpServerResponse response;
    const auto &answer = errorAnswer(error.kind_);
    response.status_ = answer.httpStatus_;
    response.headers_.push_back({std::string(ErrorKindHeader), std::string(answer.name_)});
    if (error.retryAfter_) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*error.retryAfter_).count();
        response.headers_.push_back({"Retry-After", std::to_string(seconds)});
    }
    response.body_ = errorJson(error);
    // Another request on this connection would race with the shutdown of the instance.
    response.closeConnection_ = error.kind_ == ErrorKind::Draining;
    return response;
}
} // namespace Marjoramfold
