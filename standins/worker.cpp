#include "marjoramfold/http/httpclient.h"
#include "marjoramfold/http/httpserver.h"
#include "standins/worker/workerstate.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <functional>
#include <list>

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 takes a free one");
DEFINE_string(port_file, "", "file to write the bound port to");
DEFINE_string(platform, "", "HOST:PORT of the platform to register with");
DEFINE_string(id, "worker-1", "identifier of this worker");
DEFINE_string(availability_zone, "", "availability zone of this worker");
DEFINE_string(rack, "rack-1", "rack of this worker");
DEFINE_int32(accelerators, 8, "accelerators");
DEFINE_int32(cores, 130, "processor cores");
DEFINE_int64(memory_mb, 500'000, "memory in megabytes");
DEFINE_int64(usage_lag_ms, 1'000, "lag of usage reports in milliseconds");

using namespace Marjoramfold;

namespace
{
constexpr std::chrono::milliseconds TickInterval{10};
constexpr std::chrono::milliseconds RegistrationInterval{1'000};

/// Serves a WorkerState over HTTP.
class WorkerProgram
{
public:
    explicit WorkerProgram(asio::io_context &context)
        : state_({FLAGS_accelerators, FLAGS_cores, FLAGS_memory_mb}, RackId(FLAGS_rack), std::chrono::milliseconds(FLAGS_usage_lag_ms))
        , client_(context)
        , tick_(context)
        , registration_(context)
        , server_(context, {FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)}, [this](HttpServerRequest request, HttpResponder respond) {
            handle(request, std::move(respond));
        })
    {
    }

    auto start() -> void
    {
        port_ = server_.start();
        if (!FLAGS_port_file.empty()) {
            std::ofstream(FLAGS_port_file) << port_ << "\n";
        }
        scheduleTick();
        registerWithPlatform();
        LOG(INFO) << "worker_started worker=" << FLAGS_id << " address=" << FLAGS_address << ":" << port_;
    }

private:
    /// An answer that waits for a change of the state.
    struct PendingAnswer {
        std::function<bool()> isReady_;
        SteadyTime deadline_;
        std::function<void()> answer_;
    };

    auto handle(const HttpServerRequest &request, HttpResponder respond) -> void
    {
        const auto path = pathOf(request.target_);
        if (path == "/v1/commands") {
            handleCommands(request, std::move(respond));
        } else if (path == "/v1/inventory") {
            handleInventory(request, std::move(respond));
        } else if (path == "/v1/faults") {
            const auto json = nlohmann::json::parse(request.body_, nullptr, false);
            if (!json.is_object()) {
                respond({400, {}, "{}"});
                return;
            }
            state_.setFaults({json.value("fail_every_task", false), json.value("leaving", false)});
            respond({200, {}, "{}"});
        } else {
            respond({404, {}, "{}"});
        }
    }

    auto handleCommands(const HttpServerRequest &request, HttpResponder respond) -> void
    {
        auto batch = decodeBatch(request.body_);
        if (!isOk(batch)) {
            respond({400, {}, toString(errorOf(batch)), "text/plain"});
            return;
        }
        if (!state_.acceptEpoch(valueOf(batch).epoch_)) {
            respond({409, {}, "{}"});
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        std::vector<WorkerCommandResult> results;
        for (const auto &command : valueOf(batch).commands_) {
            results.push_back(state_.handle(command, now));
        }
        // The answer waits until every stopped task has written its checkpoint.
        answerWhen(
            [this, results] {
                return std::none_of(results.begin(), results.end(), [this](const auto &result) {
                    return result.kind_ == WorkerCommandKind::Stop && state_.isStopping(result.task_);
                });
            },
            SteadyTime::max(),
            [this, results, respond = std::move(respond)]() mutable {
                for (auto &result : results) {
                    result.progress_ = state_.progressOf(result.task_);
                }
                respond({200, {}, encodeResults(results)});
            });
    }

    auto handleInventory(const HttpServerRequest &request, HttpResponder respond) -> void
    {
        const Epoch epoch{numberParameter(request, "epoch"), static_cast<std::uint32_t>(numberParameter(request, "rank"))};
        if (!state_.acceptEpoch(epoch)) {
            respond({409, {}, "{}"});
            return;
        }
        const auto after = numberParameter(request, "after");
        state_.forgetEnded(after);
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(numberParameter(request, "wait_ms"));
        answerWhen(
            [this, after] {
                return state_.version() > after;
            },
            deadline,
            [this, respond = std::move(respond)] {
                respond({200, {}, encodeInventory(state_.inventory(std::chrono::steady_clock::now()))});
            });
    }

    static auto numberParameter(const HttpServerRequest &request, std::string_view name) -> std::uint64_t
    {
        return std::strtoull(queryParameter(request.target_, name).value_or("0").c_str(), nullptr, 10);
    }

    auto answerWhen(std::function<bool()> isReady, SteadyTime deadline, std::function<void()> answer) -> void
    {
        pending_.push_back({std::move(isReady), deadline, std::move(answer)});
        answerReady();
    }

    auto answerReady() -> void
    {
        const auto now = std::chrono::steady_clock::now();
        for (auto entry = pending_.begin(); entry != pending_.end();) {
            if (now >= entry->deadline_ || entry->isReady_()) {
                entry->answer_();
                entry = pending_.erase(entry);
            } else {
                ++entry;
            }
        }
    }

    auto scheduleTick() -> void
    {
        tick_.expires_after(TickInterval);
        tick_.async_wait([this](const std::error_code &error) {
            if (!error) {
                state_.advance(std::chrono::steady_clock::now());
                answerReady();
                scheduleTick();
            }
        });
    }

    auto registerWithPlatform() -> void
    {
        if (FLAGS_platform.empty()) {
            return;
        }
        const nlohmann::json entry{{"id", FLAGS_id},
                                   {"role", "worker"},
                                   {"availability_zone", FLAGS_availability_zone},
                                   {"address", FLAGS_address + ":" + std::to_string(port_)},
                                   {"state", "live"},
                                   {"rack", FLAGS_rack},
                                   {"accelerators", FLAGS_accelerators},
                                   {"cores", FLAGS_cores},
                                   {"memory_mb", FLAGS_memory_mb}};
        client_.send({"PUT", FLAGS_platform, "/v1/instances/" + FLAGS_id, {}, entry.dump()}, [](const Result<HttpClientResponse> &) {});
        registration_.expires_after(RegistrationInterval);
        registration_.async_wait([this](const std::error_code &error) {
            if (!error) {
                registerWithPlatform();
            }
        });
    }

    Standins::WorkerState state_;
    HttpClient client_;
    asio::steady_timer tick_;
    asio::steady_timer registration_;
    HttpServer server_;
    std::uint16_t port_ = 0;
    std::list<PendingAnswer> pending_;
};
} // namespace

auto main(int argc, char **argv) -> int
{
    FLAGS_logtostderr = true;
    gflags::SetUsageMessage("Stand-in for a worker of the platform; for tests and demonstrations.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    asio::io_context context;
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const std::error_code &, int) {
        context.stop();
    });
    WorkerProgram program(context);
    program.start();
    context.run();
    return 0;
}
