#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/log/logclient.h"

#include <chrono>
#include <string>

namespace Marjoramfold
{
/// Address and timeouts of a client of the platform's log.
struct HttpLogClientOptions {
    /// HOST:PORT of the platform.
    std::string address_;
    std::chrono::milliseconds appendTimeout_{5'000};
    /// Added to the time that the log may wait for a record.
    std::chrono::milliseconds readTimeout_{2'000};
};

/// Client of the platform's log over HTTP and JSON, see docs/protocols.md. Errors are those of LogClient, and InvalidRequest when
/// the log rejected an append as invalid, so that nothing was appended.
class HttpLogClient : public LogClient
{
public:
    /// The HTTP client must outlive this one and its pending requests.
    HttpLogClient(HttpClient &http, HttpLogClientOptions options);

    auto append(LogStream stream, std::vector<nlohmann::json> bodies, std::function<void(Result<Offset>)> done) -> void override;
    auto read(LogReadRequest request, std::function<void(Result<LogPage>)> done) -> void override;

private:
    HttpClient &http_;
    HttpLogClientOptions options_;
};
} // namespace Marjoramfold
