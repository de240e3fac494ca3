#include "world.hh"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <optional>

namespace Review
{
namespace
{
constexpr milliseconds EntryInterval{1500};
constexpr milliseconds MaxLease{10'000};
constexpr milliseconds CallTimeout{3000};
constexpr milliseconds PollInterval{10};
constexpr const char *Program = "target/bin/marjoramfold-instance";
constexpr const char *Host = "review.example";
constexpr const char *FirstKey = "team-key";
constexpr const char *Pool = "review-desk";
} // namespace

auto route(const std::string &name, int priority, int maxAttempts) -> nlohmann::json
{
    return {{"name", name},
            {"host", Host},
            {"path_prefix", "/" + name + "/"},
            {"kind", "unsafe"},
            {"timeout_ms", 3000},
            {"target_latency_ms", 1000},
            {"priority", priority},
            {"service", Pool},
            {"max_attempts", maxAttempts},
            {"stretch", 3.0},
            {"public", false}};
}

auto config(int version, const std::vector<nlohmann::json> &routes, const std::vector<Tenant> &tenants) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &tenant : tenants) {
        list.push_back({{"name", tenant.name_}, {"api_keys", {tenant.name_ + "-key"}}, {"guaranteed", {{"gpu", tenant.guaranteedGpu_}}}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", Pool}, {"admission_check", false}}}},
            {"tenants", list},
            {"limits", nlohmann::json::object()}};
}

World::World(std::string folder, const std::string &record, Size size)
    : folder_(std::move(folder))
    , record_(record)
    , store_(context_, 1)
    , silentServer_(context_, {asio::ip::make_address("127.0.0.1"), 0})
    , client_(context_)
{
    storePort_ = store_.listen();
    key_ = FirstKey;
    // Below the range of ephemeral ports; runs side by side begin at different ports.
    nextPort_ = static_cast<std::uint16_t>(12'000 + getpid() * 64 % 18'000);
    makeWorkers(size.workers_);
    for (std::size_t i = 0; i < size.instances_; ++i) {
        const auto zone = i % 2 == 0 ? "zone-1" : "zone-2";
        instances_.push_back({"frontend-" + std::to_string(i), zone, freeAddress(), freeAddress(), freeAddress(), 0});
    }
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

auto World::elapsed() const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - startedAt_);
}

auto World::note(const std::string &text) -> void
{
    record_ << elapsed().count() << " ms: " << text << std::endl;
}

auto World::freeAddress() -> std::string
{
    while (true) {
        const auto port = nextPort_++;
        asio::ip::tcp::acceptor acceptor(context_);
        std::error_code error;
        acceptor.open(asio::ip::tcp::v4(), error);
        acceptor.bind({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

auto World::publish(const nlohmann::json &config) -> void
{
    store_.put("keyed.op", "config", config.dump());
    std::string routes;
    for (const auto &entry : config.at("routes")) {
        routes += " " + entry.at("name").get<std::string>();
    }
    note("operator: config " + config.at("version").dump() + " confirmed, routes:" + routes);
}

auto World::makeWorkers(std::size_t count) -> void
{
    for (std::size_t i = 0; i < count; ++i) {
        Marjoramfold::LeasedWorkerHooks hooks;
        hooks.work_ = [this](const std::string &task) {
            return work_(task);
        };
        hooks.gangSize_ = [this](const std::string &task) {
            return gangSize_(task);
        };
        hooks.present_ = [this](const std::string &task, int run) {
            const auto step = task.substr(0, task.rfind('.') + 1);
            return static_cast<std::size_t>(std::count_if(active_.begin(), active_.end(), [&step, run](const auto &entry) {
                return entry.first.starts_with(step) && std::any_of(entry.second.begin(), entry.second.end(), [run](const auto &active) {
                           return active.second == run;
                       });
            }));
        };
        hooks.booted_ = [](const std::string &, int) {};
        hooks.began_ = [this](const std::string &worker, const std::string &task, int run, bool) {
            starts_.push_back({worker, task, run, elapsed()});
            active_[task].insert({worker, run});
            note("executor " + worker + ": start of " + task + " run " + std::to_string(run));
        };
        hooks.ended_ = [this](const std::string &worker, const std::string &task, int run, const std::string &outcome) {
            ends_.push_back({worker, task, run, outcome, elapsed(), false});
            active_[task].erase({worker, run});
            note("executor " + worker + ": end of " + task + " run " + std::to_string(run) + ", " + outcome);
        };
        hooks.acknowledged_ = [this](const std::string &worker, const Marjoramfold::LeasedRunEnd &end) {
            for (auto &seen : ends_) {
                if (seen.worker_ == worker && seen.task_ == end.task_ && seen.run_ == end.run_ && !seen.acknowledged_) {
                    seen.acknowledged_ = true;
                    note("executor " + worker + ": the end of " + end.task_ + " run " + std::to_string(end.run_) + " was taken note of");
                }
            }
        };
        Worker worker;
        worker.worker_ = std::make_unique<Marjoramfold::LeasedWorker>(context_, "w" + std::to_string(i), hooks, MaxLease, i + 1);
        worker.address_ = "127.0.0.1:" + std::to_string(worker.worker_->listen());
        worker.zone_ = i % 2 == 0 ? "zone-1" : "zone-2";
        worker.rack_ = i % 2 == 0 ? "r1-1" : "r2-1";
        workers_.push_back(std::move(worker));
    }
    // The executors write their entries at different times.
    for (std::size_t i = 0; i < workers_.size(); ++i) {
        publishWorker(workers_[i]);
        publishPeriodically(i, EntryInterval * (i + 1) / workers_.size());
    }
}

auto World::entryOf(const Worker &worker) const -> nlohmann::json
{
    auto entry = nlohmann::json::parse(worker.worker_->entry(worker.address_, worker.zone_, worker.rack_, Pool));
    for (const auto &label : worker.moreLabels_) {
        entry["labels"].push_back(label);
    }
    return entry;
}

auto World::addLabel(std::size_t worker, const std::string &label) -> void
{
    workers_.at(worker).moreLabels_.push_back(label);
    publishWorker(workers_.at(worker));
}

auto World::writeOddEntry(std::size_t worker) -> void
{
    auto entry = entryOf(workers_.at(worker));
    entry.erase("born");
    entry["address"] = "127.0.0.1:" + std::to_string(silentServer_.local_endpoint().port());
    store_.put("keyed.servers", workers_.at(worker).worker_->id(), entry.dump());
    note("another writer: entry of " + workers_.at(worker).worker_->id() + " without born: " + entry.dump());
}

auto World::publishWorker(const Worker &worker) -> void
{
    if (!worker.lost_) {
        store_.put("keyed.servers", worker.worker_->id(), entryOf(worker).dump());
    }
}

auto World::publishPeriodically(std::size_t worker, milliseconds delay) -> void
{
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, worker](const std::error_code &error) {
        if (!error) {
            publishWorker(workers_.at(worker));
            publishPeriodically(worker, EntryInterval);
        }
    });
}

auto World::startProcess(Instance &instance) -> void
{
    const auto settings = folder_ + "/" + instance.name_ + ".toml";
    std::ofstream(settings) << "[instance]\nname = \"" << instance.name_ << "\"\navailability_zone = \"" << instance.zone_
                            << "\"\ncore_share = 0.25\nmax_descriptors = 4100\n[listen]\ncallers = \"" << instance.callers_ << "\"\nreadiness = \""
                            << instance.readiness_ << "\"\nmetrics = \"" << instance.metrics_ << "\"\n[store]\naddress = \"127.0.0.1:" << storePort_
                            << "\"\n[bounds]\nrevoke_ms = 5000\ngrace_s = 6\nlongest_lease_ms = " << MaxLease.count()
                            << "\nstop_ms = 200\nreclaim_ms = 2700\nfar_factor = 3\n";
    const auto log = folder_ + "/" + instance.name_ + ".log";
    instance.process_ = fork();
    if (instance.process_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        setenv("MARJORAMFOLD_BOOT", settings.c_str(), 1);
        execl(Program, Program, nullptr);
        _exit(127);
    }
}

auto World::startInstances() -> bool
{
    for (auto &instance : instances_) {
        startProcess(instance);
    }
    constexpr milliseconds StartLimit{20'000};
    const auto limit = elapsed() + StartLimit;
    for (const auto &instance : instances_) {
        while (send(instance.readiness_, "GET", "/marjoramfold/ready", {}).status_ != 200) {
            if (elapsed() > limit) {
                note("instance " + instance.name_ + " is not ready");
                return false;
            }
            wait(milliseconds(100));
        }
    }
    note("all instances are ready");
    return true;
}

auto World::send(const std::string &address, const std::string &method, const std::string &path, const std::string &body) -> Answer
{
    Marjoramfold::HttpClientRequest request{method, address, path, {}, body, CallTimeout};
    request.headers_ = {
        {"Host", Host}, {"Authorization", "Bearer " + key_}, {"Content-Type", "application/json"}, {"X-Deadline-Ms", std::to_string(CallTimeout.count())}};
    std::optional<Answer> answer;
    client_.send(std::move(request), [&answer](const Marjoramfold::Result<Marjoramfold::HttpClientResponse> &result) {
        if (!Marjoramfold::isOk(result)) {
            answer = Answer{};
            return;
        }
        const auto &response = Marjoramfold::valueOf(result);
        const auto json = nlohmann::json::parse(response.body_, nullptr, false);
        answer = Answer{response.status_, json.is_object() ? json.value("state", std::string()) : std::string()};
    });
    while (!answer) {
        context_.run_for(PollInterval);
    }
    return *answer;
}

auto World::call(std::size_t instance, const std::string &method, const std::string &path, const std::string &body) -> Answer
{
    const auto &target = instances_.at(instance);
    const auto answer = send(target.callers_, method, path, body);
    note("client: " + method + " " + path + " at " + target.name_ + " -> " + (answer.status_ == 0 ? "no answer" : std::to_string(answer.status_)) + " "
         + answer.state_);
    return answer;
}

auto World::useKey(std::string key) -> void
{
    key_ = std::move(key);
}

auto World::wait(milliseconds time) -> void
{
    context_.run_for(time);
}

auto World::waitUntil(const std::function<bool()> &condition, milliseconds limit) -> bool
{
    const auto deadline = elapsed() + limit;
    while (!condition() && elapsed() < deadline) {
        context_.run_for(PollInterval);
    }
    return condition();
}

auto World::leader() const -> std::size_t
{
    std::size_t leader = 0;
    std::uint64_t newest = 0;
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        std::ifstream log(folder_ + "/" + instances_[i].name_ + ".log");
        for (std::string line; std::getline(log, line);) {
            const auto at = line.find("leadership_begun epoch=");
            if (at == std::string::npos) {
                continue;
            }
            const auto epoch = std::stoull(line.substr(at + std::string("leadership_begun epoch=").size()));
            if (epoch >= newest) {
                newest = epoch;
                leader = i;
            }
        }
    }
    return leader;
}

auto World::signal(std::size_t instance, int number) -> void
{
    auto &target = instances_.at(instance);
    kill(target.process_, number);
    note("signal " + std::to_string(number) + " to " + target.name_);
}

auto World::restart(std::size_t instance) -> void
{
    // The stand-ins have to run on while the process ends.
    while (waitpid(instances_.at(instance).process_, nullptr, WNOHANG) == 0) {
        wait(PollInterval);
    }
    startProcess(instances_.at(instance));
    note("started " + instances_.at(instance).name_);
}

auto World::zoneOf(std::size_t instance) const -> const std::string &
{
    return instances_.at(instance).zone_;
}

auto World::loseZone(const std::string &zone) -> void
{
    note("zone " + zone + " loses power for good");
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        if (instances_[i].zone_ == zone) {
            signal(i, SIGKILL);
        }
    }
    for (auto &worker : workers_) {
        if (worker.zone_ == zone) {
            worker.lost_ = true;
            Marjoramfold::LeasedWorkerBoot never;
            never.duration_ = std::chrono::hours(1);
            worker.worker_->restart(never);
        }
    }
    auto timer = std::make_shared<asio::steady_timer>(context_, EntryInterval * 3);
    timer->async_wait([this, timer](const std::error_code &error) {
        for (const auto &worker : workers_) {
            if (!error && worker.lost_) {
                store_.put("keyed.servers", worker.worker_->id(), std::nullopt);
                note("platform: the entry of " + worker.worker_->id() + " is removed");
            }
        }
    });
}

auto World::failRuns(bool fail) -> void
{
    for (const auto &worker : workers_) {
        worker.worker_->faults_.failsAll_ = fail;
    }
}

auto World::running() const -> std::size_t
{
    std::size_t tasks = 0;
    for (const auto &worker : workers_) {
        tasks += worker.worker_->running().size();
    }
    return tasks;
}
} // namespace Review
