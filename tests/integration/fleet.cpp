#include "fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <thread>

namespace Marjoramfold
{
namespace
{
constexpr std::chrono::milliseconds RequestTimeout{5'000};
constexpr std::chrono::milliseconds PollInterval{100};

auto readProcesses(const std::string &path) -> std::vector<FleetProcess>
{
    std::vector<FleetProcess> processes;
    std::ifstream file(path);
    FleetProcess process;
    while (file >> process.name_ >> process.address_ >> process.zone_) {
        processes.push_back(process);
    }
    return processes;
}

auto readWord(const std::string &path) -> std::string
{
    std::ifstream file(path);
    std::string word;
    file >> word;
    return word;
}

auto toJsonAnswer(const Result<HttpClientResponse> &result) -> JsonAnswer
{
    if (!isOk(result)) {
        return {0, nullptr, errorOf(result)};
    }
    return {valueOf(result).status_, nlohmann::json::parse(valueOf(result).body_, nullptr, false), std::nullopt};
}

auto demoRules() -> std::string
{
    std::ifstream file(std::string(MARJORAMFOLD_SOURCE_DIR) + "/examples/agenda-carpatica/demo-rules.toml");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
} // namespace

Fleet::Fleet()
{
    const auto *dir = std::getenv("MARJORAMFOLD_FLEET");
    REQUIRE(dir != nullptr);
    dir_ = dir;
    entries_ = readProcesses(dir_ + "/entry-list");
    workers_ = readProcesses(dir_ + "/workers");
    executors_ = readProcesses(dir_ + "/executors");
    REQUIRE(entries_.size() == 8);
}

auto Fleet::entries() const -> const std::vector<FleetProcess> &
{
    return entries_;
}

auto Fleet::workers() const -> const std::vector<FleetProcess> &
{
    return workers_;
}

auto Fleet::executors() const -> const std::vector<FleetProcess> &
{
    return executors_;
}

auto Fleet::entry(const std::string &name) const -> const FleetProcess &
{
    for (const auto &process : entries_) {
        if (process.name_ == name) {
            return process;
        }
    }
    FAIL("no entry " << name);
    return entries_.front();
}

auto Fleet::signal(const std::string &name, int number) const -> void
{
    const auto pid = pidOf(name);
    REQUIRE(pid > 0);
    REQUIRE(::kill(pid, number) == 0);
}

auto Fleet::keepDown(const std::string &name, bool down) const -> void
{
    const auto marker = dir_ + "/down-" + name;
    if (down) {
        std::ofstream(marker) << "down\n";
    } else {
        std::filesystem::remove(marker);
    }
}

auto Fleet::pidOf(const std::string &name) const -> int
{
    return std::atoi(readWord(dir_ + "/" + name + ".pid").c_str());
}

auto Fleet::setPlatformFaults(const nlohmann::json &faults) const -> void
{
    REQUIRE(postJson(readWord(dir_ + "/platform"), "/v1/faults", faults, RequestTimeout).status_ == 200);
}

auto Fleet::setFaults(const FleetProcess &process, const nlohmann::json &faults) const -> void
{
    REQUIRE(postJson(process.address_, "/v1/faults", faults, RequestTimeout).status_ == 200);
}

auto Fleet::setRoute(const std::string &route, const nlohmann::json &faults) const -> void
{
    auto body = faults;
    body["route"] = route;
    REQUIRE(postJson(readWord(dir_ + "/proxy"), "/v1/faults", body, RequestTimeout).status_ == 200);
}

auto Fleet::cutZone(const std::string &zone, bool cut) const -> void
{
    const nlohmann::json faults{{"cut_to_server", cut}, {"cut_to_client", cut}};
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].zone_ == zone) {
            setRoute("platform-" + std::to_string(i), faults);
        }
        for (std::size_t j = 0; j < entries_.size(); ++j) {
            if (i != j && (entries_[i].zone_ == zone) != (entries_[j].zone_ == zone)) {
                setRoute("peer-" + std::to_string(i) + "-" + std::to_string(j), faults);
            }
        }
    }
}

auto getJson(const std::string &address, const std::string &path) -> JsonAnswer
{
    return toJsonAnswer(sendAndWait({"GET", address, path, {}, "", RequestTimeout}));
}

auto postJson(const std::string &address, const std::string &path, const nlohmann::json &body, std::chrono::milliseconds timeout) -> JsonAnswer
{
    return toJsonAnswer(sendAndWait({"POST", address, path, {}, body.dump(), timeout}));
}

auto eventually(std::chrono::seconds atMost, const std::function<bool()> &condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + atMost;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

auto publishZoneState(const std::string &entryAddress, const std::string &publishId, Offset baseVersion, const std::string &zone, const std::string &state)
    -> JsonAnswer
{
    const std::regex line("(availability_zone\\." + zone + " = \\{ state = \")[a-z]+");
    const auto text = std::regex_replace(demoRules(), line, "$1" + state);
    constexpr std::chrono::seconds PublishTimeout{20};
    return postJson(entryAddress, "/v1/rules", {{"publish_id", publishId}, {"base_version", baseVersion}, {"author", "test"}, {"text", text}}, PublishTimeout);
}

auto bringUp(const Fleet &fleet) -> void
{
    const auto &address = fleet.entries().front().address_;
    REQUIRE(publishZoneState(address, "first", 0, "cluj-a", "in").status_ == 200);
    REQUIRE(eventually(std::chrono::seconds(60), [&] {
        std::size_t scheduled = 0;
        for (const auto &entry : fleet.entries()) {
            const auto status = getJson(entry.address_, "/v1/status");
            for (const auto &zone : status.body_.value("availability_zones", nlohmann::json::array())) {
                scheduled += zone.value("scheduled_here", false) ? 1 : 0;
            }
        }
        return scheduled == 4;
    }));
}

auto submitJob(const std::string &entryAddress, const std::string &id, const std::string &zone, int tasks, std::chrono::milliseconds runTime) -> JsonAnswer
{
    nlohmann::json job{{"id", id},
                       {"team", "planners"},
                       {"name", "integration"},
                       {"gang_size", tasks},
                       {"task", {{"accelerators", 8}, {"cores", 8}, {"memory_mb", 1'000}}},
                       {"declared_run_time_ms", runTime.count()},
                       {"grace_ms", 1'000},
                       {"payload", nlohmann::json{{"run_ms", runTime.count()}}.dump()}};
    if (!zone.empty()) {
        job["availability_zones"] = {zone};
    }
    return postJson(entryAddress, "/v1/jobs", {{"job", job}}, std::chrono::seconds(15));
}

auto jobState(const std::string &entryAddress, const std::string &id) -> std::string
{
    const auto answer = getJson(entryAddress, "/v1/jobs/" + id);
    return answer.status_ == 200 ? answer.body_.value("state", std::string()) : std::string();
}

auto ownerOf(const std::string &entryAddress, const std::string &zone) -> std::string
{
    const auto status = getJson(entryAddress, "/v1/status");
    if (status.status_ != 200) {
        return {};
    }
    for (const auto &entry : status.body_.value("availability_zones", nlohmann::json::array())) {
        if (entry.value("availability_zone", std::string()) == zone) {
            return entry.value("owner", std::string());
        }
    }
    return {};
}

auto runningMembers(const Fleet &fleet, const std::string &job) -> std::map<std::string, int>
{
    std::map<std::string, int> members;
    for (const auto &worker : fleet.workers()) {
        const auto inventory = getJson(worker.address_, "/v1/tasks");
        for (const auto &task : inventory.body_.value("tasks", nlohmann::json::array())) {
            const auto id = task.value("task", std::string());
            if (id.starts_with(job + "/") && task.value("state", std::string()) == "running") {
                ++members[id.substr(0, id.rfind('/'))];
            }
        }
    }
    return members;
}
} // namespace Marjoramfold
