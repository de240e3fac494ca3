#include "marjoramfold/observability/logline.h"
#include "marjoramfold/observability/metrics.h"
#include "marjoramfold/observability/tracer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <thread>

using namespace Marjoramfold;
using namespace std::chrono_literals;

namespace
{
/// Parsed form of the text format.
struct Exposition {
    std::map<std::string, std::string> help_;
    std::map<std::string, std::string> type_;
    /// Value by series, as written: NAME{LABELS}.
    std::map<std::string, double> samples_;
};

/// Parses the Prometheus text format strictly; throws on a malformed or repeated line.
auto parseExposition(const std::string &text) -> Exposition
{
    static const std::regex Comment(R"(# (HELP|TYPE) ([a-zA-Z_:][a-zA-Z0-9_:]*) (.+))");
    static const std::regex Sample(R"re(([a-zA-Z_:][a-zA-Z0-9_:]*(?:\{(?:[a-zA-Z_][a-zA-Z0-9_]*="(?:[^"\\\n]|\\["\\n])*",?)*\})?) (\S+))re");
    Exposition result;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        std::smatch match;
        if (std::regex_match(line, match, Comment)) {
            auto &target = match[1] == "HELP" ? result.help_ : result.type_;
            if (!target.emplace(match[2], match[3]).second) {
                throw std::runtime_error("repeated: " + line);
            }
        } else if (std::regex_match(line, match, Sample)) {
            if (!result.samples_.emplace(match[1], std::stod(match[2])).second) {
                throw std::runtime_error("repeated: " + line);
            }
        } else {
            throw std::runtime_error("malformed: " + line);
        }
    }
    return result;
}
} // namespace

SCENARIO("metrics are exposed in the Prometheus text format", "[observability]")
{
    MetricsRegistry metrics;
    auto &dropped = metrics.counter({"marjoramfold_peer_messages_dropped_total", "Peer messages that were dropped.", {"reason"}, 4});
    dropped.at({"bad_mac"}).Increment(3);
    dropped.at({"a \"quoted\"\\ value\nwith a new line"}).Increment();
    metrics.gauge({"marjoramfold_rules_confirmation_age_seconds", "Age of the rules confirmation.", {}, 1}).at().Set(1.5);
    auto &latency = metrics.histogram({"marjoramfold_request_duration_seconds", "Time of a request.", {}, 1}, latencyBuckets());
    latency.at().Observe(0.0002);
    latency.at().Observe(2);

    const auto exposition = parseExposition(metrics.text());
    REQUIRE(exposition.type_.at("marjoramfold_peer_messages_dropped_total") == "counter");
    REQUIRE(exposition.help_.at("marjoramfold_peer_messages_dropped_total") == "Peer messages that were dropped.");
    REQUIRE(exposition.samples_.at("marjoramfold_peer_messages_dropped_total{reason=\"bad_mac\"}") == 3);
    REQUIRE(exposition.samples_.at(R"(marjoramfold_peer_messages_dropped_total{reason="a \"quoted\"\\ value\nwith a new line"})") == 1);
    REQUIRE(exposition.samples_.at("marjoramfold_rules_confirmation_age_seconds") == 1.5);
    REQUIRE(exposition.samples_.at("marjoramfold_request_duration_seconds_count") == 2);
    REQUIRE(exposition.samples_.at("marjoramfold_request_duration_seconds_bucket{le=\"0.0003\"}") == 1);
    REQUIRE(exposition.samples_.at("marjoramfold_request_duration_seconds_bucket{le=\"+Inf\"}") == 2);

    WHEN("an unbounded number of label values comes from outside")
    {
        for (auto i = 0; i < 1'000; ++i) {
            dropped.at({"value-" + std::to_string(i)}).Increment();
        }
        THEN("the number of series stays bounded and the sum stays complete")
        {
            auto sum = 0.0;
            auto series = 0;
            for (const auto &[name, value] : parseExposition(metrics.text()).samples_) {
                if (name.starts_with("marjoramfold_peer_messages_dropped_total{")) {
                    sum += value;
                    ++series;
                }
            }
            REQUIRE(series == 4);
            REQUIRE(sum == 1'004);
        }
    }
    WHEN("a description or a number of label values is invalid")
    {
        REQUIRE_THROWS_AS(metrics.counter({"requests_total", "help", {}, 1}), std::invalid_argument);
        REQUIRE_THROWS_AS(metrics.counter({"marjoramfold_requests", "help", {}, 1}), std::invalid_argument);
        REQUIRE_THROWS_AS(metrics.counter({"marjoramfold_requests_total", "", {}, 1}), std::invalid_argument);
        REQUIRE_THROWS_AS(metrics.gauge({"marjoramfold_requests_total", "help", {}, 1}), std::invalid_argument);
        REQUIRE_THROWS_AS(metrics.histogram({"marjoramfold_request_duration", "help", {}, 1}, {1}), std::invalid_argument);
        REQUIRE_THROWS_AS(dropped.at({"a", "b"}), std::invalid_argument);
    }
    WHEN("several threads register and count")
    {
        std::vector<std::thread> threads;
        for (auto t = 0; t < 4; ++t) {
            threads.emplace_back([&metrics, t] {
                for (auto i = 0; i < 5'000; ++i) {
                    metrics.counter({"marjoramfold_work_total", "Work done.", {"thread"}, 8}).at({std::to_string(t % 2)}).Increment();
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
        const auto samples = parseExposition(metrics.text()).samples_;
        REQUIRE(samples.at("marjoramfold_work_total{thread=\"0\"}") == 10'000);
        REQUIRE(samples.at("marjoramfold_work_total{thread=\"1\"}") == 10'000);
    }
}

SCENARIO("traceparent headers are read and written", "[observability]")
{
    const std::string header = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = parseTraceparent(header);
    REQUIRE(context);
    REQUIRE(context->sampled_);
    REQUIRE(formatTraceparent(*context) == header);
    REQUIRE_FALSE(parseTraceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00")->sampled_);
    // A later version may carry more fields.
    REQUIRE(parseTraceparent("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more"));

    const auto *malformed = GENERATE("",
                                     "00",
                                     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
                                     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-more",
                                     "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01more",
                                     "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                                     "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                                     "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                                     "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                                     "00-0af7651916cd43dd8448eb211c80319g-b7ad6b7169203331-01",
                                     "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
    CAPTURE(malformed);
    REQUIRE_FALSE(parseTraceparent(malformed));
}

SCENARIO("spans are kept for queries and exported", "[observability]")
{
    auto wall = WallTime(1'800'000'000s);
    auto steady = SteadyTime(1h);
    const Clock clock{[&] {
                          return steady;
                      },
                      [&] {
                          return wall;
                      }};
    const auto path = std::filesystem::temp_directory_path() / "marjoramfold-tracer-test.jsonl";
    std::filesystem::remove(path);
    {
        Tracer tracer({"entry-1", path.string(), 3}, clock);
        REQUIRE(tracer.canExport());
        auto root = tracer.startServerSpan("request", "malformed header");
        const auto trace = root.context().traceId_;
        wall += 5ms;
        steady += 5ms;
        auto child = tracer.startSpan("attempt", root.context(), SpanKind::Client);
        child.setAttribute("target", std::string("t\xff 1"));
        child.setAttribute("retries", std::int64_t(2));
        child.setStatus(SpanStatus::Error, "timeout");
        steady += 3ms;
        // A step of the time of day must not turn a duration negative.
        wall -= 1h;
        child.end();
        child.end();
        root.end();

        const auto spans = tracer.spansOf(trace);
        REQUIRE(spans.size() == 2);
        REQUIRE(spans[0].name_ == "request");
        REQUIRE(spans[0].end_ - spans[0].start_ == 8ms);
        REQUIRE(spans[1].parent_ == spans[0].context_.spanId_);
        REQUIRE(spans[1].end_ - spans[1].start_ == 3ms);

        for (auto i = 0; i < 10; ++i) {
            tracer.startSpan("other").end();
        }
        // Memory for finished spans is bounded, so the ten later ones have displaced these.
        REQUIRE(tracer.spansOf(trace).empty());
    }
    std::ifstream file(path);
    std::vector<nlohmann::json> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(nlohmann::json::parse(line));
    }
    REQUIRE(lines.size() == 12);
    const auto &resource = lines[0]["resourceSpans"][0];
    REQUIRE(resource["resource"]["attributes"][1]["value"]["stringValue"] == "entry-1");
    const auto &span = resource["scopeSpans"][0]["spans"][0];
    REQUIRE(span["name"] == "attempt");
    REQUIRE(span["startTimeUnixNano"] == "1800000000005000000");
    REQUIRE(span["endTimeUnixNano"] == "1800000000008000000");
    REQUIRE(span["status"] == nlohmann::json{{"code", 2}, {"message", "timeout"}});
    REQUIRE(span["attributes"][2]["value"]["intValue"] == "2");
    std::filesystem::remove(path);

    REQUIRE_FALSE(Tracer({"entry-1", "/nonexistent/folder/spans", 1}).canExport());
}

SCENARIO("spans may outlive their tracer and end on other threads", "[observability]")
{
    Span longLivedSpan;
    {
        Tracer tracer({"entry-1", "", 8});
        longLivedSpan = tracer.startSpan("long-lived");
        std::vector<std::thread> threads;
        for (auto t = 0; t < 4; ++t) {
            threads.emplace_back([&tracer] {
                for (auto i = 0; i < 1'000; ++i) {
                    auto span = tracer.startSpan("work");
                    static_cast<void>(tracer.spansOf(span.context().traceId_));
                }
            });
        }
        for (auto &thread : threads) {
            thread.join();
        }
    }
    longLivedSpan.end();
    REQUIRE_FALSE(toHex(longLivedSpan.context().traceId_).empty());
}

SCENARIO("log fields are quoted so that a line stays one line and can be parsed", "[observability]")
{
    LogLine line(LogSeverity::Info, "job_started");
    line.with("team", "planners").with("tasks", 16).with("urgent", true).job("job-1").request("r 1");
    line.with("reason", "a \"quoted\" = value\nnext \\ \x01").with("empty", "");
    REQUIRE(line.text()
            == "job_started job_id=job-1 request_id=\"r 1\" team=planners tasks=16 urgent=true "
               "reason=\"a \\\"quoted\\\" = value\\nnext \\\\ \\x01\" empty=\"\"");
    REQUIRE(quoteLogValue("cluj-a:8080/path") == "cluj-a:8080/path");
    REQUIRE(quoteLogValue(std::string(5'000, 'x')).size() == 1'024);
}
