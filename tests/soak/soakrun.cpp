#include "tests/soak/soakrun.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>

namespace Marjoramfold::Soak
{
namespace
{
constexpr std::chrono::milliseconds WorkerEntryInterval{500};
constexpr std::chrono::milliseconds SubmitInterval{150};
constexpr std::chrono::milliseconds StateQueryInterval{120};
constexpr std::chrono::milliseconds ProcessCheckInterval{100};
constexpr std::chrono::milliseconds RequestTimeout{3000};
constexpr std::chrono::milliseconds SubmitRetryDelay{250};
constexpr int MaxSubmitAttempts = 5;
constexpr std::size_t IdleConnectionsPerInstance = 3;
constexpr std::chrono::seconds GracePeriod{6};
constexpr const char *Host = "soak.example";
constexpr const char *Key = "soak-key";

/// Address with a free port below the range of ephemeral ports, so that no outgoing connection uses the port while a process restarts.
auto freeAddress(asio::io_context &context) -> std::string
{
    constexpr std::uint16_t FirstPort = 12'000;
    constexpr std::uint16_t PortCount = 18'000;
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

auto routeTo(std::uint16_t port) -> RouteOptions
{
    RouteOptions options;
    options.serverAddress_ = "127.0.0.1";
    options.serverPort_ = port;
    return options;
}
} // namespace

SoakRun::SoakRun(SoakOptions options)
    : options_(std::move(options))
    , random_(options_.seed_)
    , store_(context_, options_.seed_)
    , client_(context_)
    , startedAt_(Clock::now())
{
}

SoakRun::~SoakRun()
{
    for (auto &instance : instances_) {
        if (instance.process_ != 0) {
            kill(instance.process_, SIGKILL);
            waitpid(instance.process_, nullptr, 0);
        }
    }
}

auto SoakRun::pick(std::size_t count) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

auto SoakRun::chance(double share) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

auto SoakRun::logEvent(const std::string &what) -> void
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startedAt_).count();
    std::ofstream(options_.folder_ + "/soak.log", std::ios::app) << at << " " << what << "\n";
}

auto SoakRun::runAfter(std::chrono::milliseconds delay, std::function<void()> step) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, step = std::move(step)](const std::error_code &error) {
        if (!error && !finished_) {
            step();
        }
    });
}

auto SoakRun::start() -> void
{
    std::filesystem::create_directories(options_.folder_);
    storePort_ = store_.listen();
    publishConfig();
    makeWorkers();
    makeInstances();
    publishWorkers();
    restartEndedProcesses();
}

auto SoakRun::run() -> std::vector<std::string>
{
    start();
    runAfter(std::chrono::seconds(1), [this] {
        for (unsigned caller = 0; caller < options_.callers_; ++caller) {
            submitNextJob();
            queryState();
        }
        cancelRandomJob();
    });
    runAfter(std::chrono::seconds(3), [this] {
        switch (options_.faults_) {
        case FaultMix::All:
            injectFault();
            break;
        case FaultMix::LeaderKilled:
            killLeader();
            break;
        case FaultMix::WorkerRestarts:
            injectWorkerFaults([this] {
                restartWorker(pick(workers_.size()), LeasedWorkerBoot{});
            });
            break;
        case FaultMix::WorkerFaults:
            injectWorkerFaults([this] {
                injectWorkerFault();
            });
            break;
        }
    });
    runAfter(options_.faultTime_, [this] {
        endFaults();
    });
    const auto deadline = Clock::now() + options_.faultTime_ + options_.settleTime_;
    while (Clock::now() < deadline && (faultsActive_ || !allJobsDone())) {
        context_.run_for(std::chrono::milliseconds(50));
    }
    for (const auto &[id, job] : checker_.jobs()) {
        if (job.accepted_ && !job.cancelSent_ && job.state_ != "completed") {
            checker_.addViolation("accepted job " + id + " did not complete in time; its state is '" + job.state_ + "'");
        }
    }
    finished_ = true;
    for (const auto &violation : checker_.violations()) {
        logEvent("VIOLATION " + violation);
    }
    return checker_.violations();
}

auto SoakRun::allJobsDone() -> bool
{
    const auto &jobs = checker_.jobs();
    return std::all_of(jobs.begin(), jobs.end(), [](const auto &entry) {
        const auto &job = entry.second;
        return !job.accepted_ || job.cancelSent_ || job.state_ == "completed";
    });
}

auto SoakRun::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds time) -> bool
{
    const auto deadline = Clock::now() + time;
    while (!condition() && Clock::now() < deadline) {
        context_.run_for(std::chrono::milliseconds(10));
    }
    return condition();
}

auto SoakRun::job(const std::string &id) -> const SoakJob &
{
    return checker_.job(id);
}

auto SoakRun::busyWorkersByRack() const -> std::map<std::string, std::size_t>
{
    std::map<std::string, std::size_t> busy;
    for (const auto &worker : workers_) {
        busy[worker.rack_] += worker.worker_->running().empty() ? 0 : 1;
    }
    return busy;
}

auto SoakRun::violations() const -> const std::vector<std::string> &
{
    return checker_.violations();
}

auto SoakRun::rackName(unsigned rack) -> std::string
{
    return "r" + std::to_string(rack % 2 + 1) + "-" + std::to_string(rack / 2 + 1);
}

auto SoakRun::publishConfig() -> void
{
    const auto route = [](const char *name, const char *prefix, int priority) {
        return nlohmann::json{{"name", name},
                              {"host", Host},
                              {"path_prefix", prefix},
                              {"kind", "unsafe"},
                              {"timeout_ms", 3000},
                              {"target_latency_ms", 500},
                              {"priority", priority},
                              {"service", "pool"},
                              {"max_attempts", 20},
                              {"stretch", 3.0},
                              {"public", false}};
    };
    const nlohmann::json config{{"version", 3},
                                {"routes", {route("batch", "/batch/", 2), route("urgent", "/urgent/", 0)}},
                                {"services", {{{"name", "pool"}, {"admission_check", false}}}},
                                {"tenants", {{{"name", "team"}, {"api_keys", {Key}}, {"guaranteed", {{"gpu", 16}}}}}}};
    store_.put("keyed.op", "config", config.dump());
}

auto SoakRun::makeWorkers() -> void
{
    for (unsigned i = 0; i < options_.workers_; ++i) {
        LeasedWorkerHooks hooks;
        hooks.work_ = [this](const std::string &task) {
            return checker_.job(InvariantChecker::jobOf(task)).work_;
        };
        hooks.gangSize_ = [this](const std::string &task) {
            const auto &job = checker_.job(InvariantChecker::jobOf(task));
            return job.gang_ ? job.tasks_ : std::size_t(1);
        };
        hooks.booted_ = [this](const std::string &worker, int accelerators) {
            checker_.onWorkerBooted(worker, accelerators);
        };
        hooks.began_ = [this](const std::string &worker, const std::string &task, int run, bool late) {
            checker_.onRunStarted(worker, task, run, late);
        };
        hooks.ended_ = [this](const std::string &worker, const std::string &task, int run, const std::string &outcome) {
            checker_.onRunEnded(worker, task, run, outcome);
        };
        hooks.acknowledged_ = [this](const std::string &worker, const LeasedRunEnd &end) {
            checker_.onEndAcknowledged(worker, end);
        };
        hooks.present_ = [this](const std::string &task, int run) {
            return checker_.presentMembers(task, run);
        };
        Worker worker;
        worker.worker_ = std::make_unique<LeasedWorker>(context_, "w" + std::to_string(i), hooks, options_.maxLease_, options_.seed_ + i);
        worker.route_ = std::make_unique<TcpRoute>(context_, routeTo(worker.worker_->listen()), options_.seed_);
        const auto rack = i % options_.racks_;
        worker.zone_ = rack % 2 == 0 ? "zone-1" : "zone-2";
        worker.rack_ = rackName(rack);
        workers_.push_back(std::move(worker));
    }
}

auto SoakRun::makeInstances() -> void
{
    for (unsigned i = 0; i < options_.instances_; ++i) {
        Instance instance;
        instance.name_ = "i" + std::to_string(i);
        instance.zone_ = i % 2 == 0 ? "zone-1" : "zone-2";
        instance.callerAddress_ = freeAddress(context_);
        instance.readinessAddress_ = freeAddress(context_);
        instance.metricsAddress_ = freeAddress(context_);
        instance.storeRoute_ = std::make_unique<TcpRoute>(context_, routeTo(storePort_), options_.seed_);
        std::ofstream(options_.folder_ + "/" + instance.name_ + ".toml")
            << "[instance]\nname = \"" << instance.name_ << "\"\navailability_zone = \"" << instance.zone_ << "\"\ncore_share = 0.25\nmax_descriptors = 4096\n"
            << "[listen]\ncallers = \"" << instance.callerAddress_ << "\"\nreadiness = \"" << instance.readinessAddress_ << "\"\nmetrics = \""
            << instance.metricsAddress_ << "\"\n"
            << "[store]\naddress = \"127.0.0.1:" << instance.storeRoute_->port() << "\"\n"
            << "[bounds]\nrevoke_ms = 5000\ngrace_s = " << GracePeriod.count() << "\nlongest_lease_ms = " << options_.maxLease_.count()
            << "\nstop_ms = 200\nreclaim_ms = 3400\nfar_factor = 3\n";
        instances_.push_back(std::move(instance));
    }
    for (auto &instance : instances_) {
        startProcess(instance);
    }
}

auto SoakRun::startProcess(Instance &instance) -> void
{
    const auto log = options_.folder_ + "/" + instance.name_ + ".log";
    const auto settings = "--settings=" + options_.folder_ + "/" + instance.name_ + ".toml";
    instance.terminating_ = false;
    instance.paused_ = false;
    instance.killedOrPaused_ = false;
    instance.process_ = fork();
    if (instance.process_ == 0) {
        // The instance must not outlive an aborted test.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        execl(options_.program_.c_str(), options_.program_.c_str(), settings.c_str(), nullptr);
        _exit(127);
    }
    instance.idle_ = std::make_unique<IdleConnections>(context_, *parseHostPort(instance.callerAddress_), IdleConnectionsPerInstance);
    logEvent("started " + instance.name_);
}

auto SoakRun::restartEndedProcesses() -> void
{
    for (auto &instance : instances_) {
        if (int status = 0; instance.process_ != 0 && waitpid(instance.process_, &status, WNOHANG) == instance.process_) {
            const auto isUnexpected = !instance.terminating_ && !instance.killedOrPaused_;
            if (isUnexpected || (WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL)) {
                checker_.addViolation("instance " + instance.name_ + " exited unexpectedly, wait status " + std::to_string(status));
            }
            logEvent("instance " + instance.name_ + " ended, wait status " + std::to_string(status));
            restartAfterDelay(static_cast<std::size_t>(&instance - instances_.data()));
        }
        checkShutdown(instance);
    }
    runAfter(ProcessCheckInterval, [this] {
        restartEndedProcesses();
    });
}

auto SoakRun::restartAfterDelay(std::size_t index) -> void
{
    if (options_.restartDelay_.count() == 0) {
        startProcess(instances_[index]);
        return;
    }
    instances_[index].process_ = 0;
    runAfter(options_.restartDelay_, [this, index] {
        startProcess(instances_[index]);
    });
}

auto SoakRun::checkShutdown(Instance &instance) -> void
{
    if (instance.process_ == 0 || !instance.terminating_ || instance.killedOrPaused_ || Clock::now() - instance.terminatedAt_ < GracePeriod) {
        return;
    }
    // The platform kills a process at the end of the grace period.
    checker_.addViolation("instance " + instance.name_ + " did not end within its grace period, with " + std::to_string(instance.idle_->open())
                          + " idle connections");
    instance.killedOrPaused_ = true;
    kill(instance.process_, SIGKILL);
}

auto SoakRun::publishWorkers() -> void
{
    for (auto &worker : workers_) {
        if (worker.worker_->isUp() && Clock::now() >= worker.entryHeldUntil_) {
            publishWorker(worker);
        }
    }
    runAfter(WorkerEntryInterval, [this] {
        publishWorkers();
    });
}

auto SoakRun::publishWorker(Worker &worker) -> void
{
    worker.lastEntry_ = worker.worker_->entry(workerAddress(worker), worker.zone_, worker.rack_, "pool");
    store_.put("keyed.servers", worker.worker_->id(), worker.lastEntry_);
}

auto SoakRun::workerAddress(const Worker &worker) const -> std::string
{
    return "127.0.0.1:" + std::to_string(worker.route_->port());
}

auto SoakRun::call(const std::string &method, const std::string &id, const std::string &body, std::function<void(int, const std::string &)> done) -> void
{
    const auto index = pick(instances_.size());
    const auto prefix = checker_.job(id).urgent_ ? "/urgent/" : "/batch/";
    HttpClientRequest request{method, instances_[index].callerAddress_, prefix + id, {}, body, RequestTimeout};
    request.headers_ = {{"Host", Host}, {"Authorization", std::string("Bearer ") + Key}, {"X-Deadline-Ms", std::to_string(RequestTimeout.count())}};
    const auto process = instances_[index].process_;
    const auto wasTerminating = instances_[index].terminating_;
    client_.send(std::move(request), [this, index, process, wasTerminating, method, id, done = std::move(done)](const Result<HttpClientResponse> &result) {
        if (isOk(result)) {
            const auto json = nlohmann::json::parse(valueOf(result).body_, nullptr, false);
            done(valueOf(result).status_, json.is_object() ? json.value("state", std::string()) : std::string());
            return;
        }
        // A request that was sent before a termination signal must be answered, unless the instance was also killed or paused.
        const auto &instance = instances_[index];
        const auto sent = errorOf(result).kind_ == ErrorKind::TransportFailed;
        if (sent && !wasTerminating && instance.terminating_ && !instance.killedOrPaused_ && instance.process_ == process) {
            checker_.onRequestCutDuringShutdown(method + " " + id + " at " + instance.name_);
        }
        done(0, "");
    });
}

auto SoakRun::submitNextJob() -> void
{
    if (faultsActive_) {
        SoakJob job;
        char id[17];
        std::snprintf(id, sizeof(id), "%08llx%08x", static_cast<unsigned long long>(options_.seed_ & 0xffffffffU), ++nextJob_);
        job.id_ = id;
        job.gang_ = chance(0.3);
        job.urgent_ = job.gang_;
        job.tasks_ = 1 + pick(job.gang_ ? 4 : 8);
        job.work_ = std::chrono::milliseconds(200 + pick(1500));
        if (options_.jobsWithoutDemand_ && nextJob_ % 3 == 1) {
            job.accelerators_ = 0;
            job.tasks_ = 3 * options_.workers_;
        }
        submitJob(job);
        runAfter(SubmitInterval, [this] {
            submitNextJob();
        });
    }
}

auto SoakRun::submitJob(const SoakJob &job) -> void
{
    checker_.addJob(job);
    submit(job.id_, MaxSubmitAttempts);
}

auto SoakRun::submit(const std::string &id, int attemptsLeft) -> void
{
    const auto &job = checker_.job(id);
    const auto estimate = job.estimate_.count() > 0 ? job.estimate_ : job.work_;
    nlohmann::json step{{"count", job.tasks_}, {"cpu", 1000}, {"mem_mb", 1000}, {"gpu", job.accelerators_}, {"estimate_ms", estimate.count()}};
    if (job.accelerators_ == 0) {
        step = {{"count", job.tasks_}, {"cpu", 1000}, {"fills", true}, {"estimate_ms", estimate.count()}};
    }
    if (job.gang_) {
        step["gang"] = true;
        step["same_rack"] = true;
    }
    if (!job.dataRack_.empty()) {
        step["affinity"] = job.dataRack_;
    }
    const nlohmann::json body{{"spec", "soak"}, {"steps", {step}}};
    // The job's tasks may start before the answer arrives, unless that answer refuses the job.
    checker_.job(id).maybeStored_ = true;
    call("POST", id, body.dump(), [this, id, attemptsLeft, wasAccepted = job.accepted_](int status, const std::string &) {
        checker_.onSubmitAnswer(id, status);
        if (status != 200 && !wasAccepted && attemptsLeft > 1) {
            runAfter(SubmitRetryDelay, [this, id, attemptsLeft] {
                submit(id, attemptsLeft - 1);
            });
        }
    });
}

auto SoakRun::queryState() -> void
{
    std::vector<std::string> openJobs;
    for (const auto &[id, job] : checker_.jobs()) {
        if (job.accepted_ && (job.state_ != "completed" || chance(0.05))) {
            openJobs.push_back(id);
        }
    }
    if (!openJobs.empty()) {
        const auto id = openJobs[pick(openJobs.size())];
        call("GET", id, "", [this, id](int status, const std::string &state) {
            checker_.onStateAnswer(id, status, state);
        });
    }
    runAfter(faultsActive_ ? StateQueryInterval : StateQueryInterval / 6, [this] {
        queryState();
    });
}

auto SoakRun::cancelRandomJob() -> void
{
    for (auto &[id, job] : checker_.jobs()) {
        if (job.accepted_ && !job.cancelSent_ && job.state_ != "completed" && faultsActive_ && chance(0.02)) {
            job.cancelSent_ = true;
            call("DELETE", id, "", [this, id = id](int status, const std::string &) {
                checker_.onCancelAnswer(id, status);
            });
            break;
        }
    }
    runAfter(std::chrono::milliseconds(400), [this] {
        cancelRandomJob();
    });
}
} // namespace Marjoramfold::Soak
