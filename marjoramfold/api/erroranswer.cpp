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
    // Messages can repeat bytes of the caller, which need not be UTF-8.
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
    // The next request on the connection of a draining instance would race with its end.
    response.closeConnection_ = error.kind_ == ErrorKind::Draining;
    return response;
}
} // namespace Marjoramfold
