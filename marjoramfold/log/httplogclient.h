#pragma once

#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/log/logclient.h"

#include <chrono>
#include <string>

namespace Marjoramfold
{
/// Where the platform's log is and how long its answers may take.
struct HttpLogClientOptions {
    /// HOST:PORT of the platform.
    std::string address_;
    std::chrono::milliseconds appendTimeout_{5'000};
    /// Time for a read beyond the time that the log may wait for a record.
    std::chrono::milliseconds readTimeout_{2'000};
};

/// The platform's log by HTTP and JSON, see docs/protocols.md. Errors are those of LogClient, and InvalidRequest when the log
/// refused an append as wrong, so that nothing was appended.
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
