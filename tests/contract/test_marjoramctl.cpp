#include "marjoramfold/core/jobjson.h"
#include "marjoramfold/http/httpserver.h"
#include "marjoramfold/observability/tracer.h"
#include "tools/marjoramctl/commandline.h"
#include "tools/marjoramctl/jobfile.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <mutex>
#include <sstream>
#include <thread>

using namespace Marjoramfold;
using Marjoramfold::Ctl::ExitCode;
using nlohmann::json;

namespace
{
/// HTTP server that stands in for an entry: answers by a function and records the requests.
class FakeEntry
{
public:
    using Answer = std::function<HttpServerResponse(const HttpServerRequest &)>;

    explicit FakeEntry(Answer answer)
        : answer_(std::move(answer))
        , server_(context_,
                  {},
                  [this](const HttpServerRequest &request, const HttpResponder &respond) {
                      const std::lock_guard lock(mutex_);
                      requests_.push_back(request);
                      respond(answer_(request));
                  })
        , port_(server_.start())
        , thread_([this] {
            const auto guard = asio::make_work_guard(context_);
            context_.run();
        })
    {
    }

    ~FakeEntry()
    {
        context_.stop();
        thread_.join();
    }

    FakeEntry(const FakeEntry &) = delete;
    auto operator=(const FakeEntry &) -> FakeEntry & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    auto requests() -> std::vector<HttpServerRequest>
    {
        const std::lock_guard lock(mutex_);
        return requests_;
    }

private:
    std::mutex mutex_;
    std::vector<HttpServerRequest> requests_;
    Answer answer_;
    asio::io_context context_;
    HttpServer server_;
    std::uint16_t port_;
    std::thread thread_;
};

auto jsonAnswer(const json &body, int status = 200) -> HttpServerResponse
{
    return {status, {}, body.dump(), "application/json", false};
}

auto errorAnswerOf(int status, const std::string &kind, const std::string &ran) -> HttpServerResponse
{
    return jsonAnswer({{"error", {{"kind", kind}, {"message", "the reason"}, {"ran", ran}, {"retry_after_ms", 250}}}}, status);
}

/// Returns an address on which nothing listens.
auto closedAddress() -> std::string
{
    asio::io_context context;
    asio::ip::tcp::acceptor unused(context, {asio::ip::make_address("127.0.0.1"), 0}, false);
    return "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
}

struct Outcome {
    ExitCode code_;
    std::string out_;
    std::string err_;
};

auto run(const std::vector<std::string> &arguments) -> Outcome
{
    std::ostringstream out;
    std::ostringstream err;
    const auto code = Ctl::runCommandLine(arguments, out, err);
    return {code, out.str(), err.str()};
}

/// A file that is removed when the object is destroyed.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content)
        : path_(std::filesystem::temp_directory_path() / ("marjoramctl-test-" + std::to_string(std::hash<std::string>()(content)) + ".toml"))
    {
        std::ofstream(path_) << content;
    }

    ~TemporaryFile()
    {
        std::filesystem::remove(path_);
    }

    TemporaryFile(const TemporaryFile &) = delete;
    auto operator=(const TemporaryFile &) -> TemporaryFile & = delete;

    [[nodiscard]] auto path() const -> std::string
    {
        return path_.string();
    }

private:
    std::filesystem::path path_;
};

const std::string ValidJob = R"(name = "agenda"
team = "planners"
gang_size = 4
adjacency = "rack"
priority = "urgent"
declared_run_time_s = 5400.5
availability_zones = ["cluj-a"]
[task]
accelerators = 8
cores = 12
memory_mb = 64000
)";

const std::string ValidRules = "availability_zone.cluj-a = { state = \"in\", workers = 13, workers_per_rack = 6, accelerators_per_worker = 8 }"
                               "  # asked by I. Pop: fleet\n";
} // namespace

SCENARIO("marjoramctl rejects invalid command lines with exit code 2", "[ctl]")
{
    const auto arguments = GENERATE(std::vector<std::string>{},
                                    std::vector<std::string>{"jobs"},
                                    std::vector<std::string>{"job", "show"},
                                    std::vector<std::string>{"job", "show", "a", "b"},
                                    std::vector<std::string>{"job", "show", "a/b"},
                                    std::vector<std::string>{"status", "--unknown"},
                                    std::vector<std::string>{"status", "--timeout_ms=soon"},
                                    std::vector<std::string>{"status", "--entry"},
                                    std::vector<std::string>{"status", "--id=x"},
                                    std::vector<std::string>{"job", "submit", "/nonexistent/file"},
                                    std::vector<std::string>{"rules", "check", "/nonexistent/file"});
    const auto outcome = run(arguments);
    CAPTURE(arguments);
    REQUIRE(outcome.code_ == ExitCode::WrongUse);
    REQUIRE_FALSE(outcome.err_.empty());
}

SCENARIO("every subcommand has a help text", "[ctl]")
{
    const auto general = run({"--help"});
    REQUIRE(general.code_ == ExitCode::Done);
    for (const auto *name : {"rules check",
                             "rules publish",
                             "rules show",
                             "rules history",
                             "job submit",
                             "job list",
                             "job show",
                             "job wait",
                             "job cancel",
                             "explain job",
                             "explain team",
                             "explain zone",
                             "status",
                             "trace"}) {
        CAPTURE(name);
        REQUIRE_THAT(general.out_, Catch::Contains(name));
        std::vector<std::string> words;
        std::istringstream stream(name);
        for (std::string word; stream >> word;) {
            words.push_back(word);
        }
        words.emplace_back("--help");
        const auto help = run(words);
        REQUIRE(help.code_ == ExitCode::Done);
        REQUIRE_THAT(help.out_, Catch::StartsWith("usage: marjoramctl [FLAGS] " + std::string(name)));
    }
}

SCENARIO("a command is sent to the next entry only when that is safe", "[ctl]")
{
    FakeEntry healthy([](const HttpServerRequest &request) {
        return jsonAnswer({{"state", "finished"}, {"path", request.target_}});
    });
    WHEN("no connection to the first entry can be established")
    {
        THEN("the second entry answers, whether it is given by a repeated flag or in a comma-separated list")
        {
            REQUIRE(run({"status", "--entry", closedAddress(), "--entry", healthy.address()}).code_ == ExitCode::Done);
            REQUIRE(run({"job", "cancel", "j1", "--entry=" + closedAddress() + "," + healthy.address()}).code_ == ExitCode::Done);
            REQUIRE(healthy.requests().size() == 2);
        }
    }
    WHEN("the first entry drains and reports that the command did not run")
    {
        FakeEntry draining([](const HttpServerRequest & /*request*/) {
            return errorAnswerOf(503, "draining", "no");
        });
        THEN("the command is sent to the second entry")
        {
            REQUIRE(run({"job", "cancel", "j1", "--entry", draining.address(), "--entry", healthy.address()}).code_ == ExitCode::Done);
        }
    }
    WHEN("a cancellation may have run at the first entry")
    {
        FakeEntry timingOut([](const HttpServerRequest & /*request*/) {
            return errorAnswerOf(504, "timeout", "maybe");
        });
        const auto outcome = run({"job", "cancel", "j1", "--entry", timingOut.address(), "--entry", healthy.address()});
        THEN("it is not sent again, and the error says that it may have run")
        {
            REQUIRE(outcome.code_ == ExitCode::Refused);
            REQUIRE(healthy.requests().empty());
            REQUIRE_THAT(outcome.err_, Catch::Contains("timeout") && Catch::Contains("may have run"));
        }
    }
    WHEN("a submission may have run at the first entry")
    {
        FakeEntry timingOut([](const HttpServerRequest & /*request*/) {
            return errorAnswerOf(504, "timeout", "maybe");
        });
        const TemporaryFile file(ValidJob);
        const auto outcome = run({"job", "submit", file.path(), "--entry", timingOut.address(), "--entry", healthy.address()});
        THEN("it is sent again with the same id")
        {
            REQUIRE(outcome.code_ == ExitCode::Done);
            const auto first = json::parse(timingOut.requests().at(0).body_)["job"]["id"];
            REQUIRE(json::parse(healthy.requests().at(0).body_)["job"]["id"] == first);
            REQUIRE(outcome.out_ == first.get<std::string>() + "\n");
        }
    }
    WHEN("a submission may have run and no other entry can be reached")
    {
        FakeEntry timingOut([](const HttpServerRequest & /*request*/) {
            return errorAnswerOf(504, "timeout", "maybe");
        });
        const TemporaryFile file(ValidJob);
        const auto outcome = run({"job", "submit", file.path(), "--entry", timingOut.address(), "--entry", closedAddress()});
        THEN("the connection failure of the last entry does not hide that it may have run")
        {
            REQUIRE(outcome.code_ == ExitCode::Refused);
            REQUIRE_THAT(outcome.err_, Catch::Contains("may have run") && Catch::Contains("--id=job-"));
        }
    }
    WHEN("the entry returns an error that is not retryable")
    {
        FakeEntry refusing([](const HttpServerRequest & /*request*/) {
            return errorAnswerOf(403, "quota_exceeded", "no");
        });
        const TemporaryFile file(ValidJob);
        THEN("the error is reported, in text and in JSON, and the next entry is not tried")
        {
            const auto outcome = run({"job", "submit", file.path(), "--entry", refusing.address(), "--entry", healthy.address()});
            REQUIRE(outcome.code_ == ExitCode::Refused);
            REQUIRE_THAT(outcome.err_, Catch::Contains("quota_exceeded (not run): the reason; try again in 250 ms"));
            REQUIRE(healthy.requests().empty());
            const auto asJson = run({"job", "submit", file.path(), "--json", "--entry", refusing.address()});
            REQUIRE(json::parse(asJson.out_)["error"]["kind"] == "quota_exceeded");
            REQUIRE(json::parse(asJson.out_)["error"]["retry_after_ms"] == 250);
        }
    }
}

SCENARIO("errors in job files are reported with position and reason", "[ctl]")
{
    const auto valid = Ctl::parseJobFile(ValidJob, JobId("j1"));
    REQUIRE(std::holds_alternative<JobSpec>(valid));
    const auto &spec = std::get<JobSpec>(valid);
    REQUIRE(spec.team_ == TeamId("planners"));
    REQUIRE(spec.declaredRunTime_ == std::chrono::milliseconds(5'400'500));
    REQUIRE(spec.task_ == Resources{8, 12, 64'000});
    REQUIRE(spec.adjacency_ == Adjacency::Rack);
    REQUIRE(spec.priority_ == PriorityClass::Urgent);

    struct Case {
        std::string text_;
        std::string expected_;
    };
    const auto invalid = GENERATE(Case{"team = \"a\"\ngang_size = 4\n", "f: key 'task' is missing"},
                                  Case{"team = \"a\"\ngang_size = 400\n[task]\n", "f:2:13: key 'gang_size' must be from 1 to 128, not 400"},
                                  Case{"team = \"a\"\ngang = 4\n[task]\n", "f:2:8: key 'gang' is not known"},
                                  Case{"team = \"a\"\n[task]\ncores = 1.5\n", "f:3:9: key 'task.cores' must be a whole number"},
                                  Case{"team = \"a\"\ngrace_s = -1\n[task]\n", "f:2:11: key 'grace_s' must be a number of seconds, at most a year"},
                                  Case{"team = \"a\"\npriority = \"high\"\n[task]\n", "f:2:12: key 'priority' must be one of batch, normal, urgent"},
                                  Case{"gang_size = 1\n[task]\n", "f: key 'team' is missing"});
    const auto parsed = Ctl::parseJobFile(invalid.text_, JobId("j1"));
    REQUIRE(std::holds_alternative<Ctl::JobFileError>(parsed));
    REQUIRE(toString("f", std::get<Ctl::JobFileError>(parsed)) == invalid.expected_);
}

SCENARIO("rules are published once and polled until they are in force", "[ctl]")
{
    std::atomic<int> polls = 0;
    FakeEntry entry([&polls](const HttpServerRequest &request) {
        if (request.method_ == "POST") {
            return jsonAnswer({{"version", 42}});
        }
        if (request.target_ == "/v1/rules") {
            return jsonAnswer({{"version", 41}, {"text", ValidRules}});
        }
        const auto confirmed = ++polls > 1;
        return jsonAnswer({{"version", 42},
                           {"zones",
                            {{{"availability_zone", "cluj-a"}, {"in_force", true}, {"confirmed_ms", 120}, {"unconfirmed", 0}},
                             {{"availability_zone", "sibiu-c"}, {"in_force", confirmed}, {"unconfirmed", confirmed ? 0 : 2}}}}});
    });
    GIVEN("the output of rules show")
    {
        const auto shown = run({"rules", "show", "--entry", entry.address()});
        REQUIRE(shown.out_ == "# base version: 41\n" + ValidRules);
        const TemporaryFile file(shown.out_);
        WHEN("it is published as a file")
        {
            const auto outcome = run({"rules", "publish", file.path(), "--author=i.pop", "--entry", entry.address()});
            THEN("the base version comes from the first line, and each zone is reported")
            {
                REQUIRE(outcome.code_ == ExitCode::Done);
                REQUIRE_THAT(outcome.out_, Catch::Contains("accepted as version 42\nin force in cluj-a after 0 ms\nin force in sibiu-c after "));
                const auto body = json::parse(entry.requests().at(1).body_);
                REQUIRE(body["base_version"] == 41);
                REQUIRE(body["text"] == ValidRules);
                REQUIRE(body["author"] == "i.pop");
                REQUIRE_THAT(body["publish_id"].get<std::string>(), Catch::StartsWith("publish-"));
            }
        }
    }
    GIVEN("an availability zone that does not confirm")
    {
        polls = -1'000'000;
        const TemporaryFile file(ValidRules);
        const auto outcome = run({"rules", "publish", file.path(), "--author=i.pop", "--base_version=41", "--wait_s=1", "--entry", entry.address()});
        THEN("it is listed, and the publish succeeds")
        {
            REQUIRE(outcome.code_ == ExitCode::Done);
            REQUIRE_THAT(outcome.out_, Catch::Contains("not confirmed by sibiu-c (2 instances)"));
        }
    }
    GIVEN("a file without a base version")
    {
        const TemporaryFile file(ValidRules);
        REQUIRE(run({"rules", "publish", file.path(), "--author=i.pop", "--entry", entry.address()}).code_ == ExitCode::WrongUse);
        REQUIRE(entry.requests().empty());
    }
    GIVEN("a file with an error after the line of the base version")
    {
        const TemporaryFile file("# base version: 41\n" + ValidRules + "priority.planners = 3 # asked by A: b\n");
        const auto outcome = run({"rules", "publish", file.path(), "--author=i.pop", "--entry", entry.address()});
        THEN("nothing is sent, and the error has the line number in the file")
        {
            REQUIRE(outcome.code_ == ExitCode::WrongUse);
            REQUIRE(entry.requests().empty());
            REQUIRE_THAT(outcome.err_, Catch::Contains(file.path() + ":3:"));
        }
    }
}

SCENARIO("the history shows decision and changes of each publish", "[ctl]")
{
    const json line{{"line", 3}, {"text", "priority.planners = { level = 60 }"}, {"asked_by", "M. Dan"}};
    FakeEntry entry([&line](const HttpServerRequest & /*request*/) {
        const json change{{"key", "priority.planners"}, {"before", nullptr}, {"after", line}};
        return jsonAnswer({{"publishes",
                            {{{"version", 7},
                              {"decision", "accepted"},
                              {"author", "ann"},
                              {"base_version", 5},
                              {"time_ms", 1'800'000'000'000},
                              {"changes", json::array({change})}}}}});
    });
    REQUIRE(run({"rules", "history", "--entry", entry.address()}).out_
            == "version 7  accepted  by ann  from 5  2027-01-15T08:00:00Z\n  + priority.planners = { level = 60 }\n");
}

SCENARIO("job wait prints each state and exits by the final state", "[ctl]")
{
    const auto finalState = GENERATE(std::string("finished"), std::string("failed"), std::string("cancelled"));
    std::atomic<int> polls = 0;
    FakeEntry entry([&](const HttpServerRequest & /*request*/) {
        return jsonAnswer({{"id", "j1"}, {"state", ++polls < 2 ? "running" : finalState}, {"reason", "three workers failed"}});
    });
    const auto outcome = run({"job", "wait", "j1", "--entry", entry.address()});
    REQUIRE(outcome.code_ == (finalState == "finished" ? ExitCode::Done : ExitCode::Refused));
    REQUIRE(outcome.out_ == "running\n" + finalState + "\nthree workers failed\n");
}

SCENARIO("a trace is drawn from the spans that several entries recorded", "[ctl]")
{
    auto now = WallTime(std::chrono::seconds(1'800'000'000));
    auto steady = SteadyTime(std::chrono::hours(1));
    const Clock clock{[&] {
                          return steady;
                      },
                      [&] {
                          return now;
                      }};
    const auto advance = [&](std::chrono::milliseconds step) {
        now += step;
        steady += step;
    };
    Tracer first({"entry-1", "", 100}, clock);
    Tracer second({"entry-2", "", 100}, clock);
    auto root = first.startSpan("request", std::nullopt, SpanKind::Server);
    advance(std::chrono::milliseconds(2));
    auto child = second.startServerSpan("forward", formatTraceparent(root.context()));
    advance(std::chrono::milliseconds(6));
    child.setStatus(SpanStatus::Error, "target_failed");
    child.end();
    advance(std::chrono::milliseconds(2));
    root.end();

    const auto serve = [](const Tracer &tracer) {
        return [&tracer](const HttpServerRequest &request) {
            const auto id = parseTraceId(request.target_.substr(request.target_.rfind('/') + 1));
            auto spans = json::array();
            for (const auto &span : tracer.spansOf(id.value())) {
                spans.push_back(toOtlpJson(span));
            }
            return jsonAnswer({{"spans", spans}});
        };
    };
    FakeEntry entryOne(serve(first));
    FakeEntry entryTwo(serve(second));
    const auto id = toHex(root.context().traceId_);
    const auto outcome = run({"trace", id, "--entry", entryTwo.address(), "--entry", entryOne.address(), "--entry", entryOne.address()});
    REQUIRE(outcome.code_ == ExitCode::Done);
    REQUIRE(outcome.out_
            == "request @entry-1    |========================================|  +0.000 ms  10.000 ms\n"
               "  forward @entry-2  |        ========================        |  +2.000 ms  6.000 ms  error target_failed\n");
    REQUIRE(run({"trace", "00000000000000000000000000000001", "--entry", entryOne.address()}).code_ == ExitCode::Refused);
}
