#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/http/httpserver.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

using namespace Marjoramfold;

SCENARIO("the HTTP client and server exchange complete messages on one io_context", "[http]")
{
    asio::io_context context;
    HttpServer server(context, {}, [](HttpServerRequest request, HttpResponder respond) {
        respond(
            {201, {{"X-Echo", findHeader(request.headers_, "x-test").value_or("")}}, request.method_ + request.target_ + request.body_, "text/plain", false});
    });
    const auto port = server.start();
    HttpClient client(context);

    GIVEN("a thousand requests at once")
    {
        int answered = 0;
        for (auto i = 0; i < 1000; ++i) {
            const auto body = std::to_string(i);
            client.send({"POST", "127.0.0.1:" + std::to_string(port), "/a?b=" + body, {{"X-Test", body}}, body, std::chrono::seconds(30)},
                        [&, body](Result<HttpClientResponse> result) {
                            REQUIRE(isOk(result));
                            CHECK(valueOf(result).status_ == 201);
                            CHECK(valueOf(result).body_ == "POST/a?b=" + body + body);
                            CHECK(findHeader(valueOf(result).headers_, "x-echo") == body);
                            if (++answered == 1000) {
                                context.stop();
                            }
                        });
        }
        context.run();
        THEN("each gets its own response")
        {
            REQUIRE(answered == 1000);
        }
    }
}

SCENARIO("a refused connection is reported as an error before anything was sent", "[http]")
{
    asio::io_context context;
    asio::ip::tcp::acceptor unused(context, {asio::ip::make_address("127.0.0.1"), 0}, false);
    const auto port = unused.local_endpoint().port();
    unused.close();
    const auto result = sendAndWait({"GET", "127.0.0.1:" + std::to_string(port), "/", {}, "", std::chrono::seconds(5)});
    REQUIRE_FALSE(isOk(result));
    REQUIRE(errorOf(result).kind_ == ErrorKind::ConnectFailed);
}
