#include "review/world/world.hh"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <sstream>

using namespace Marjoramfold;

namespace Review
{
namespace
{
constexpr const char *Host = "review.example";
/// heartbeat_ms in the settings.
constexpr std::chrono::milliseconds EntryInterval{1500};
constexpr std::chrono::milliseconds CallTimeout{3000};
constexpr std::size_t MaxAttempts = 5;

/// Address with a free port below the range of ephemeral ports, so that no outgoing connection takes the port before the instance does.
auto freeAddress(asio::io_context &context) -> std::string
{
    constexpr std::uint32_t FirstPort = 12'000;
    constexpr std::uint32_t PortCount = 18'000;
    static auto next = static_cast<std::uint32_t>(getpid()) * 64U;
    while (true) {
        const auto port = static_cast<std::uint16_t>(FirstPort + next++ % PortCount);
        asio::ip::tcp::acceptor acceptor(context);
        std::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

auto quoted(const std::string &text) -> std::string
{
    return nlohmann::json(text).dump();
}
} // namespace

auto Job::tasksRunning() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(), [](const auto &entry) {
        return !entry.second.empty();
    }));
}

auto Job::tasksBegun() const -> std::size_t
{
    return starts_.size();
}

auto Job::tasksDone() const -> std::size_t
{
    return done_.size();
}

World::World(std::string folder, std::string record, std::string program, Bounds bounds)
    : folder_(std::move(folder))
    , record_(record)
    , program_(std::move(program))
    , bounds_(bounds)
    , startedAt_(std::chrono::steady_clock::now())
    , store_(context_)
    , client_(context_)
{
}

World::~World()
{
    for (const auto &instance : instances_) {
        if (instance.process_ > 0) {
            kill(instance.process_, SIGKILL);
            waitpid(instance.process_, nullptr, 0);
        }
    }
}

auto World::note(const std::string &text) -> void
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - startedAt_).count();
    record_ << at << " ms  " << text << std::endl;
}

auto World::bounds() const -> const Bounds &
{
    return bounds_;
}

auto World::store() -> Store &
{
    return store_;
}

auto World::workers() -> std::vector<std::unique_ptr<Worker>> &
{
    return workers_;
}

auto World::worker(const std::string &id) -> Worker &
{
    for (auto &worker : workers_) {
        if (worker->plan().id_ == id) {
            return *worker;
        }
    }
    std::abort();
}

auto World::jobOfTask(const std::string &task) -> Job *
{
    const auto found = jobs_.find(task.substr(0, task.find('.')));
    return found == jobs_.end() ? nullptr : found->second.get();
}

auto World::addWorkers(const std::vector<WorkerPlan> &plans) -> void
{
    Worker::Hooks hooks;
    hooks.planOf_ = [this](const std::string &task) {
        const auto *job = jobOfTask(task);
        return job == nullptr ? TaskPlan{} : job->task_;
    };
    hooks.log_ = [this](const std::string &worker, const std::string &event) {
        note("worker " + worker + " " + event);
    };
    hooks.began_ = [this](const std::string &worker, const std::string &task, int run) {
        if (auto *job = jobOfTask(task); job != nullptr) {
            job->starts_[task].push_back(run);
            job->running_[task].insert(run);
            job->startedAt_[task] = std::chrono::steady_clock::now();
            // The record of a job with thousands of tasks names the first ones only.
            if (job->tasks_ <= 100) {
                note("worker " + worker + " starts " + task + " run " + std::to_string(run));
            }
        }
    };
    hooks.ended_ = [this](const std::string &worker, const std::string &task, int run, const std::string &how) {
        if (auto *job = jobOfTask(task); job != nullptr) {
            job->running_[task].erase(run);
            const auto took = std::chrono::steady_clock::now() - job->startedAt_[task];
            job->longestRun_ = std::max(job->longestRun_, std::chrono::duration_cast<std::chrono::milliseconds>(took));
            if (how == "done") {
                ++job->done_[task];
            }
            job->failed_[task] += how == "failed" ? 1 : 0;
            if (job->tasks_ <= 100) {
                note("worker " + worker + " lists the end of " + task + " run " + std::to_string(run) + ": " + how);
            }
        }
    };
    hooks.acknowledged_ = [this](const std::string &worker, const std::string &task, int run, const std::string &how) {
        if (auto *job = jobOfTask(task); job != nullptr) {
            job->doneAcknowledged_[task] += how == "done" ? 1 : 0;
            job->failedAcknowledged_[task] += how == "failed" ? 1 : 0;
            if (job->tasks_ <= 100) {
                note("worker " + worker + " gets the acknowledgement of " + task + " run " + std::to_string(run) + " (" + how + ")");
            }
        }
    };
    for (const auto &plan : plans) {
        workers_.push_back(std::make_unique<Worker>(context_, plan, bounds_.longestLease_, bounds_.stop_, hooks));
    }
    publishWorkers();
}

auto World::publishWorkers() -> void
{
    for (const auto &worker : workers_) {
        if (worker->isUp()) {
            store_.put("keyed.servers", worker->plan().id_, worker->entry());
        }
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, EntryInterval);
    timer->async_wait([this, timer](const std::error_code &error) {
        if (!error) {
            publishWorkers();
        }
    });
}

auto World::publish(const std::vector<Route> &routes, const std::vector<Tenant> &tenants) -> void
{
    nlohmann::json config{{"version", version_ += 3}, {"routes", nlohmann::json::array()}, {"tenants", nlohmann::json::array()}};
    std::string names;
    for (const auto &route : routes) {
        config["routes"].push_back({{"name", route.name_},
                                    {"host", Host},
                                    {"path_prefix", route.prefix_},
                                    {"kind", "unsafe"},
                                    {"timeout_ms", 3000},
                                    {"target_latency_ms", 1000},
                                    {"priority", route.priority_},
                                    {"service", "pool"},
                                    {"max_attempts", route.maxAttempts_},
                                    {"stretch", 3.0},
                                    {"public", false}});
        names += " " + route.name_ + " (priority " + std::to_string(route.priority_) + ", max_attempts " + std::to_string(route.maxAttempts_) + ")";
    }
    for (const auto &tenant : tenants) {
        config["tenants"].push_back({{"name", tenant.name_}, {"api_keys", {tenant.key_}}, {"priority", 1}, {"guaranteed", {{"gpu", tenant.guaranteed_}}}});
        names += "; tenant " + tenant.name_ + " guaranteed " + std::to_string(tenant.guaranteed_);
    }
    config["services"] = {{{"name", "pool"}, {"health_path", "/health"}, {"max_conns", 64}, {"admission_check", false}, {"spare", false}}};
    config["limits"] = {{"max_header_bytes", 16'384}, {"max_body_bytes", 262'144}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15'000}};
    store_.put("keyed.op", "config", config.dump());
    note("operator publishes config version " + std::to_string(version_) + ":" + names);
}

auto World::writeSettings(const Instance &instance, const std::string &zone, const std::string &metrics) -> std::string
{
    // Fills in the project's template as the platform does.
    const auto colon = metrics.find(':');
    const std::map<std::string, std::string> values{{"{{node_name|json}}", quoted(instance.name_)},
                                                    {"{{zone|json}}", quoted(zone)},
                                                    {"{{limits.cpu_share}}", "0.25"},
                                                    {"{{limits.max_fds}}", "4100"},
                                                    {"{{endpoints.frontend|json}}", quoted(instance.callers_)},
                                                    {"{{endpoints.readiness|json}}", quoted(instance.readiness_)},
                                                    {"{{ip}}", metrics.substr(0, colon)},
                                                    {"{{port_range.0}}", metrics.substr(colon + 1)},
                                                    {"{{platform.address|json}}", quoted(instance.store_)},
                                                    {"{{bounds.revoke_ms}}", "5000"},
                                                    {"{{bounds.grace_s}}", "6"},
                                                    {"{{bounds.hold_max_ms}}", std::to_string(bounds_.longestLease_.count())},
                                                    {"{{bounds.stop_ms}}", std::to_string(bounds_.stop_.count())},
                                                    {"{{bounds.reclaim_ms}}", std::to_string(bounds_.reclaim_.count())},
                                                    {"{{bounds.far_x}}", "3"}};
    std::ifstream input("deploy/settings.toml.in");
    std::stringstream stream;
    stream << input.rdbuf();
    auto text = stream.str();
    for (const auto &[placeholder, value] : values) {
        for (auto at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    const auto path = folder_ + "/" + instance.name_ + ".toml";
    std::ofstream(path) << text;
    return path;
}

auto World::startInstances(std::size_t count) -> bool
{
    const std::vector<std::string> zones{"zone-1", "zone-2", "zone-3", "zone-4"};
    for (std::size_t i = 0; i < count; ++i) {
        Instance instance;
        instance.name_ = "frontend-" + std::to_string(i + 1);
        instance.callers_ = freeAddress(context_);
        instance.readiness_ = freeAddress(context_);
        instance.log_ = folder_ + "/" + instance.name_ + ".log";
        instance.store_ = store_.listen();
        const auto settings = writeSettings(instance, zones[i % zones.size()], freeAddress(context_));
        instance.process_ = fork();
        if (instance.process_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("MARJORAMFOLD_BOOT", settings.c_str(), 1);
            const auto file = open(instance.log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(file, STDOUT_FILENO);
            dup2(file, STDERR_FILENO);
            execl(program_.c_str(), program_.c_str(), nullptr);
            _exit(127);
        }
        note("starts " + instance.name_);
        instances_.push_back(instance);
    }
    std::set<std::string> ready;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (ready.size() < count && std::chrono::steady_clock::now() < deadline) {
        for (const auto &instance : instances_) {
            client_.send({"GET", instance.readiness_, "/marjoramfold/ready", {}, {}, std::chrono::milliseconds(500)},
                         [&ready, name = instance.name_](const Result<HttpClientResponse> &result) {
                             if (isOk(result) && valueOf(result).status_ == 200) {
                                 ready.insert(name);
                             }
                         });
        }
        run(std::chrono::milliseconds(700));
    }
    note(std::to_string(ready.size()) + " of " + std::to_string(count) + " instances are ready");
    // By then a leader has been elected and has asked all workers.
    run(std::chrono::milliseconds(3000));
    return ready.size() == count;
}

auto World::makeJob(const std::string &prefix, const std::string &key, const nlohmann::json &steps, TaskPlan task) -> Job &
{
    char id[17];
    std::snprintf(id, sizeof(id), "%08x%08x", static_cast<unsigned>(getpid()), ++nextJob_);
    auto &job = jobs_[id];
    job = std::make_unique<Job>();
    job->id_ = id;
    job->prefix_ = prefix;
    job->key_ = key;
    job->body_ = nlohmann::json::object();
    job->body_["spec"] = "review";
    job->body_["steps"] = steps;
    job->task_ = task;
    for (const auto &step : steps) {
        job->tasks_ += step.at("count").get<std::size_t>();
    }
    return *job;
}

auto World::submit(const std::string &prefix, const std::string &key, const nlohmann::json &steps, TaskPlan task) -> Job &
{
    auto &job = makeJob(prefix, key, steps, task);
    send(job, 1);
    return job;
}

auto World::setStoreSilent(std::size_t instance, bool silent) -> void
{
    store_.setSilent(instances_.at(instance).store_, silent);
    note("the store " + std::string(silent ? "gives no answer to " : "serves again ") + instances_.at(instance).name_);
}

auto World::call(const std::string &method, Job &job, std::size_t index) -> int
{
    auto answered = false;
    auto status = 0;
    const auto &instance = instances_.at(index);
    HttpClientRequest request{method, instance.callers_, job.prefix_ + job.id_, {}, method == "POST" ? job.body_.dump() : std::string(), CallTimeout};
    request.headers_ = {
        {"Host", Host}, {"Authorization", "Bearer " + job.key_}, {"Content-Type", "application/json"}, {"X-Deadline-Ms", std::to_string(CallTimeout.count())}};
    note("consumer sends " + method + " " + job.prefix_ + job.id_ + " to " + instance.name_);
    client_.send(std::move(request), [&](const Result<HttpClientResponse> &result) {
        answered = true;
        status = isOk(result) ? valueOf(result).status_ : 0;
    });
    runUntil(CallTimeout + std::chrono::seconds(1), [&answered] {
        return answered;
    });
    note("consumer gets " + std::to_string(status) + " for " + method + " " + job.id_ + " from " + instance.name_);
    return status;
}

auto World::send(Job &job, std::size_t attempt) -> void
{
    const auto &instance = instances_[nextInstance_++ % instances_.size()];
    HttpClientRequest request{"POST", instance.callers_, job.prefix_ + job.id_, {}, job.body_.dump(), CallTimeout};
    request.headers_ = {
        {"Host", Host}, {"Authorization", "Bearer " + job.key_}, {"Content-Type", "application/json"}, {"X-Deadline-Ms", std::to_string(CallTimeout.count())}};
    note("consumer sends POST " + job.prefix_ + job.id_ + " (" + std::to_string(job.tasks_) + " tasks) to " + instance.name_);
    client_.send(std::move(request), [this, &job, attempt, name = instance.name_](const Result<HttpClientResponse> &result) {
        const auto status = isOk(result) ? valueOf(result).status_ : 0;
        note("consumer gets " + std::to_string(status) + " for POST " + job.id_ + " from " + name);
        ++job.answers_;
        if (status >= 200 && status < 300) {
            job.accepted_ = true;
            job.acceptedAt_ = std::chrono::steady_clock::now();
        } else if (attempt < MaxAttempts) {
            auto timer = std::make_shared<asio::steady_timer>(context_, std::chrono::seconds(1));
            timer->async_wait([this, timer, &job, attempt](const std::error_code &error) {
                if (!error) {
                    send(job, attempt + 1);
                }
            });
        }
    });
}

auto World::ask(Job &job) -> std::string
{
    auto answered = false;
    const auto &instance = instances_[nextInstance_++ % instances_.size()];
    HttpClientRequest request{"GET", instance.callers_, job.prefix_ + job.id_, {}, {}, CallTimeout};
    request.headers_ = {{"Host", Host}, {"Authorization", "Bearer " + job.key_}, {"X-Deadline-Ms", std::to_string(CallTimeout.count())}};
    client_.send(std::move(request), [&](const Result<HttpClientResponse> &result) {
        answered = true;
        job.state_ = "no answer";
        if (isOk(result)) {
            const auto json = nlohmann::json::parse(valueOf(result).body_, nullptr, false);
            job.state_ = valueOf(result).status_ == 200 && json.is_object() ? json.value("state", std::string()) : std::to_string(valueOf(result).status_);
        }
    });
    runUntil(CallTimeout + std::chrono::seconds(1), [&answered] {
        return answered;
    });
    note("consumer gets '" + job.state_ + "' for GET " + job.id_ + " from " + instance.name_);
    return job.state_;
}

auto World::run(std::chrono::milliseconds time) -> void
{
    context_.run_for(time);
}

auto World::runUntil(std::chrono::milliseconds limit, const std::function<bool()> &condition) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        context_.run_for(std::chrono::milliseconds(10));
    }
    return true;
}

auto World::instanceEnded() -> bool
{
    auto ended = false;
    for (auto &instance : instances_) {
        int status = 0;
        if (instance.process_ > 0 && waitpid(instance.process_, &status, WNOHANG) == instance.process_) {
            note("process of " + instance.name_ + " ended by itself, wait status " + std::to_string(status));
            instance.process_ = 0;
            ended = true;
        }
    }
    return ended;
}
} // namespace Review
