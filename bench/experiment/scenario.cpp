#include "scenario.h"

#include "workload.h"

#include <algorithm>
#include <cmath>

namespace Marjoramfold
{
namespace
{
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr int WorkersPerRack = 6;
constexpr int AcceleratorsPerWorker = 8;
constexpr Resources AcceleratorWorker{AcceleratorsPerWorker, 130, 500'000};
constexpr Resources PlainWorker{0, 130, 500'000};

/// Rules of a team: the guarantee is in accelerators per availability zone, in shapes of perWorker_ accelerators on one worker.
struct TeamPlan {
    const char *name_;
    int guarantee_;
    int perWorker_;
    int quota_;
    int level_;
};

auto makeRuleLine(int number, const std::string &text) -> RuleLine
{
    return RuleLine{number, text + "  # asked by I. Pop: experiment", "I. Pop"};
}

auto addZone(RuleSet &rules, const std::string &zone, int workers) -> void
{
    AvailabilityZoneRule rule;
    rule.zone_ = AvailabilityZoneId(zone);
    rule.workers_ = workers;
    rule.workersPerRack_ = WorkersPerRack;
    rule.acceleratorsPerWorker_ = AcceleratorsPerWorker;
    rule.line_ = makeRuleLine(static_cast<int>(rules.zones_.size()) + 1, "availability_zone." + zone);
    rules.zones_[rule.zone_] = rule;
}

auto addTeam(RuleSet &rules, const std::string &team, int level, int quota) -> void
{
    const TeamId id(team);
    rules.priorities_[id] = PriorityRule{id, level, makeRuleLine(100, "priority." + team)};
    rules.quotas_[id] = QuotaRule{id, quota, makeRuleLine(200, "quota." + team)};
}

auto addGuarantee(RuleSet &rules, const std::string &team, const AvailabilityZoneId &zone, int accelerators, int perWorker) -> void
{
    const TeamId id(team);
    rules.guarantees_[id][zone] = GuaranteeRule{id, zone, accelerators, perWorker, makeRuleLine(300, "guarantee." + team + "." + zone.value())};
}

auto addWorkers(Scenario &scenario, const AvailabilityZoneId &zone, int count, const Resources &capacity, const std::string &prefix) -> void
{
    for (auto i = 0; i < count; ++i) {
        WorkerInfo info;
        info.id_ = WorkerId(zone.value() + "-" + prefix + std::to_string(i));
        info.zone_ = zone;
        info.rack_ = RackId(zone.value() + "-" + prefix + "rack" + std::to_string(i / WorkersPerRack));
        info.capacity_ = capacity;
        scenario.workers_.push_back(info);
    }
}

/// Adds the initial rules, and the rules that take an availability zone out and bring it back.
auto addZoneChange(Scenario &scenario, RuleSet rules, const AvailabilityZoneId &zone) -> void
{
    rules.version_ = 1;
    scenario.rules_.push_back({SteadyTime{}, std::make_shared<const RuleSet>(rules)});
    rules.version_ = 2;
    rules.zones_.at(zone).state_ = AvailabilityZoneState::Out;
    scenario.rules_.push_back({scenario.zoneOut_, std::make_shared<const RuleSet>(rules)});
    rules.version_ = 3;
    rules.zones_.at(zone).state_ = AvailabilityZoneState::In;
    scenario.rules_.push_back({scenario.zoneBack_, std::make_shared<const RuleSet>(rules)});
}

/// Adds workers that fail every task that they start, and workers that are lost.
auto addWorkerFaults(Scenario &scenario, int failing, int lost, Random &random) -> void
{
    const auto horizon = std::chrono::duration_cast<seconds>(scenario.loadEnd_ - SteadyTime{});
    const auto first = random.integer(0, static_cast<int>(scenario.workers_.size()) - 1);
    for (auto i = 0; i < failing + lost; ++i) {
        WorkerFault fault;
        // Different workers, spread over the cluster.
        fault.worker_ =
            (static_cast<std::size_t>(first) + static_cast<std::size_t>(i) * (scenario.workers_.size() / (failing + lost) + 1)) % scenario.workers_.size();
        fault.from_ = SteadyTime{} + random.duration(minutes(10), horizon);
        fault.lost_ = i >= failing;
        fault.to_ = fault.from_ + (fault.lost_ ? random.duration(minutes(5), minutes(15)) : random.duration(minutes(20), minutes(60)));
        // Every second loss is a planned replacement with notice.
        fault.notice_ = fault.lost_ && i % 2 == 0 ? minutes(2) : minutes(0);
        scenario.faults_.push_back(fault);
    }
}

auto makeFourZoneScenario(
    std::string_view name, std::uint64_t seed, const std::vector<std::string> &zones, const std::vector<TeamPlan> &teams, WorkloadPlan plan) -> Scenario
{
    Random random(seed);
    Scenario scenario;
    scenario.name_ = name;
    scenario.seed_ = seed;
    scenario.loadEnd_ = SteadyTime{} + hours(8);
    scenario.end_ = SteadyTime{} + hours(36);
    scenario.zoneOut_ = SteadyTime{} + hours(4);
    scenario.zoneBack_ = SteadyTime{} + minutes(330);

    RuleSet rules;
    for (std::size_t i = 0; i < zones.size(); ++i) {
        const auto workers = i < 2 ? 13 : 12;
        addZone(rules, zones[i], workers);
        addWorkers(scenario, AvailabilityZoneId(zones[i]), workers, AcceleratorWorker, "w");
    }
    for (const auto &team : teams) {
        addTeam(rules, team.name_, team.level_, team.quota_);
        for (const auto &zone : zones) {
            addGuarantee(rules, team.name_, AvailabilityZoneId(zone), team.guarantee_, team.perWorker_);
        }
        plan.teams_.push_back({TeamId(team.name_), static_cast<double>(team.guarantee_), team.guarantee_ >= 24});
    }
    addZoneChange(scenario, rules, AvailabilityZoneId(zones[seed % zones.size()]));
    addWorkerFaults(scenario, 3, 3, random);
    plan.capacity_ = static_cast<int>(scenario.workers_.size()) * AcceleratorsPerWorker;
    addWorkload(scenario, plan, random);
    return scenario;
}

auto makeAgendaCarpatica(std::uint64_t seed) -> Scenario
{
    WorkloadPlan plan;
    plan.load_ = 1.05;
    plan.largeShare_ = 0.45;
    plan.mediumShare_ = 0.30;
    const std::vector<TeamPlan> teams{{"planners", 32, 8, 320, 60}, {"bookbinding", 24, 8, 280, 50}, {"covers", 8, 4, 160, 40}, {"gifts", 8, 4, 160, 30}};
    return makeFourZoneScenario("agenda-carpatica", seed, {"cluj-a", "brasov-b", "sibiu-c", "targu-d"}, teams, plan);
}

auto makeTrituraCerto(std::uint64_t seed) -> Scenario
{
    WorkloadPlan plan;
    plan.load_ = 0.95;
    plan.largeShare_ = 0.35;
    plan.mediumShare_ = 0.35;
    const std::vector<TeamPlan> teams{{"certificates", 24, 8, 300, 60}, {"shredding", 24, 8, 300, 50}, {"archive", 16, 4, 200, 40}, {"routes", 8, 2, 160, 30}};
    return makeFourZoneScenario("tritura-certo", seed, {"recife", "fortaleza", "campina", "petrolina"}, teams, plan);
}

auto makeDesignSize(std::uint64_t seed, double scale) -> Scenario
{
    constexpr int Zones = 10;
    const auto scaled = [scale](int count) {
        return std::max(1, static_cast<int>(std::lround(count * scale)));
    };
    Random random(seed);
    Scenario scenario;
    scenario.name_ = "design-size";
    scenario.seed_ = seed;
    scenario.loadEnd_ = SteadyTime{} + hours(5);
    scenario.end_ = SteadyTime{} + hours(16);
    scenario.zoneOut_ = SteadyTime{} + minutes(150);
    scenario.zoneBack_ = SteadyTime{} + minutes(210);
    scenario.usageInterval_ = minutes(10);

    RuleSet rules;
    const auto acceleratorWorkers = scaled(54);
    const auto plainWorkers = scaled(236);
    for (auto i = 0; i < Zones; ++i) {
        const auto zone = "zone" + std::to_string(i);
        addZone(rules, zone, acceleratorWorkers);
        addWorkers(scenario, AvailabilityZoneId(zone), acceleratorWorkers, AcceleratorWorker, "w");
        addWorkers(scenario, AvailabilityZoneId(zone), plainWorkers, PlainWorker, "c");
    }
    WorkloadPlan plan;
    plan.load_ = 0.85;
    plan.largeShare_ = 0.82;
    plan.mediumShare_ = 0.165;
    plan.typicalRunTimes_ = {minutes(40), minutes(90), minutes(150)};
    plan.burstSmall_ = scaled(150);
    plan.burstLarge_ = scaled(8);
    plan.cancellationSize_ = scaled(60);
    plan.urgent_ = scaled(4);
    plan.impossible_ = scaled(16);
    plan.backgroundAccelerators_ = scaled(3'000);
    plan.largestGang_ = std::min(128, acceleratorWorkers * AcceleratorsPerWorker / 2);
    plan.backgroundTasks_ = scaled(29'000);
    const auto teams = scaled(440);
    for (auto i = 0; i < teams; ++i) {
        const auto team = "team" + std::to_string(i);
        // One team in 22 is large; each team has a guarantee in one availability zone.
        const auto large = i % 22 == 0;
        addTeam(rules, team, 30 + i % 40, large ? 512 : 160);
        addGuarantee(rules, team, AvailabilityZoneId("zone" + std::to_string(i % Zones)), large ? 32 : 4, large ? 8 : 4);
        plan.teams_.push_back({TeamId(team), large ? 32.0 : 4.0, large});
    }
    addZoneChange(scenario, rules, AvailabilityZoneId("zone" + std::to_string(seed % Zones)));
    addWorkerFaults(scenario, scaled(5), scaled(10), random);
    plan.capacity_ = acceleratorWorkers * Zones * AcceleratorsPerWorker;
    addWorkload(scenario, plan, random);
    return scenario;
}
} // namespace

auto makeScenario(std::string_view name, std::uint64_t seed, double scale) -> std::optional<Scenario>
{
    if (name == "agenda-carpatica") {
        return makeAgendaCarpatica(seed);
    }
    if (name == "tritura-certo") {
        return makeTrituraCerto(seed);
    }
    if (name == "design-size") {
        return makeDesignSize(seed, scale);
    }
    return std::nullopt;
}
} // namespace Marjoramfold
