#include "marjoramfold/entry/controlviews.h"

#include "marjoramfold/entry/jobtrace.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
auto ruleJson(const RuleLine &line) -> nlohmann::json
{
    return {{"line", line.number_}, {"text", line.text_}, {"asked_by", line.askedBy_}};
}

auto millisecondsSince(SteadyTime then) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - then).count();
}

auto rulesNotLoadedError() -> Error
{
    return {ErrorKind::RulesNotLoaded, "no rules are in force yet", std::nullopt};
}

/// Resource use of a team in one availability zone.
struct TeamUsage {
    int runningJobs_ = 0;
    int waitingJobs_ = 0;
    int accelerators_ = 0;
};
} // namespace

ControlViews::ControlViews(const ControlPlane &control)
    : control_(control)
{
}

auto ControlViews::rulesInForce(Offset version) const -> Result<nlohmann::json>
{
    const auto rules = control_.rules_.inForce();
    if (!rules) {
        return rulesNotLoadedError();
    }
    const auto now = std::chrono::steady_clock::now();
    auto zones = nlohmann::json::array();
    for (const auto &[id, rule] : rules->zones_) {
        const auto state = control_.peers_.view().inForce(id, version, now);
        nlohmann::json entry{{"availability_zone", id.value()}, {"in_force", state.inForce_}, {"answers", state.answers_}, {"unconfirmed", state.unconfirmed_}};
        if (state.since_) {
            entry["confirmed_ms"] = millisecondsSince(*state.since_);
        }
        zones.push_back(std::move(entry));
    }
    return nlohmann::json{{"version", version}, {"zones", std::move(zones)}};
}

auto ControlViews::jobs() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    const auto &ledger = control_.jobs_.ledger();
    for (const auto &[id, status] : ledger.jobs()) {
        list.push_back(control_.jobs_.describe(status));
    }
    return {{"jobs", std::move(list)}};
}

auto ControlViews::job(const JobId &job) const -> Result<nlohmann::json>
{
    const auto *status = control_.jobs_.ledger().find(job);
    if (status == nullptr) {
        return Error{ErrorKind::NotFound, "job '" + job.value() + "' is unknown", std::nullopt};
    }
    return control_.jobs_.describe(*status);
}

auto ControlViews::explainJobHere(const JobId &job) const -> std::optional<nlohmann::json>
{
    const auto *status = control_.jobs_.ledger().find(job);
    const auto *runtime = status == nullptr ? nullptr : control_.zones_.runtimeOf(status->zone_);
    if (runtime == nullptr) {
        return std::nullopt;
    }
    auto json = control_.jobs_.describe(*status);
    if (!runtime->isScheduling()) {
        json["reason"] = "the new owner of the availability zone is fetching the inventories of its workers";
        json["needed_change"] = "";
        return json;
    }
    if (const auto explanation = runtime->explain(job)) {
        json["state"] = toString(explanation->state_);
        json["reason"] = explanation->reason_;
        json["needed_change"] = explanation->neededChange_.empty() ? neededChange(*status, *explanation, *runtime) : explanation->neededChange_;
        auto lines = nlohmann::json::array();
        for (const auto &line : explanation->rules_) {
            lines.push_back(ruleJson(line));
        }
        json["rules"] = std::move(lines);
    }
    return json;
}

auto ControlViews::neededChange(const JobStatus &status, const JobExplanation &explanation, const ZoneRuntime &runtime) const -> std::string
{
    if (explanation.state_ == JobState::Parked) {
        return "a change of the rules listed, or a smaller job";
    }
    if (explanation.state_ != JobState::Waiting) {
        return {};
    }
    if (!control_.gate_.open_) {
        return "the rules must be confirmed as current by the platform's log or by another availability zone";
    }
    const auto rules = control_.rules_.inForce();
    const auto rule = rules->zones_.find(status.zone_);
    if (rule != rules->zones_.end() && rule->second.state_ == AvailabilityZoneState::Out) {
        return "availability zone " + status.zone_.value() + " must be set to 'in' by the rules, or another allowed zone must have enough free capacity";
    }
    const auto wanted = status.spec_.gangSize_ * status.spec_.task_.accelerators_;
    const auto free = runtime.summarize().freeAccelerators_;
    if (free < wanted) {
        return std::to_string(wanted) + " accelerators must be free in " + status.zone_.value() + ", where " + std::to_string(free)
            + " are free, or in another allowed zone";
    }
    return "jobs ahead in the queue must start, or free accelerators must be grouped as " + std::to_string(status.spec_.gangSize_) + " x "
        + std::to_string(status.spec_.task_.accelerators_) + " in " + status.zone_.value();
}

auto ControlViews::explainTeam(const TeamId &team) const -> Result<nlohmann::json>
{
    const auto rules = control_.rules_.inForce();
    if (!rules) {
        return rulesNotLoadedError();
    }
    std::map<AvailabilityZoneId, TeamUsage> uses;
    for (const auto &[id, status] : control_.jobs_.ledger().jobs()) {
        if (status.spec_.team_ != team || isFinal(status.state_)) {
            continue;
        }
        auto &use = uses[status.zone_];
        if (status.state_ == JobState::Running) {
            ++use.runningJobs_;
            use.accelerators_ += status.spec_.gangSize_ * status.spec_.task_.accelerators_;
        } else {
            ++use.waitingJobs_;
        }
    }
    nlohmann::json json{{"team", team.value()}, {"guarantees", nlohmann::json::array()}, {"use", nlohmann::json::array()}, {"rules", nlohmann::json::array()}};
    const auto guarantees = rules->guarantees_.find(team);
    if (guarantees != rules->guarantees_.end()) {
        for (const auto &[zone, rule] : guarantees->second) {
            json["guarantees"].push_back({{"availability_zone", zone.value()},
                                          {"accelerators", rule.accelerators_},
                                          {"per_worker", rule.perWorker_},
                                          {"used", uses.contains(zone) ? uses.at(zone).accelerators_ : 0},
                                          {"rule", ruleJson(rule.line_)}});
        }
    }
    for (const auto &[zone, use] : uses) {
        json["use"].push_back(
            {{"availability_zone", zone.value()}, {"running_jobs", use.runningJobs_}, {"waiting_jobs", use.waitingJobs_}, {"accelerators", use.accelerators_}});
    }
    if (const auto priority = rules->priorities_.find(team); priority != rules->priorities_.end()) {
        json["rules"].push_back(ruleJson(priority->second.line_));
    }
    if (const auto quota = rules->quotas_.find(team); quota != rules->quotas_.end()) {
        json["rules"].push_back(ruleJson(quota->second.line_));
    }
    return json;
}

auto ControlViews::explainZone(const AvailabilityZoneId &zone) const -> Result<nlohmann::json>
{
    const auto rules = control_.rules_.inForce();
    if (!rules) {
        return rulesNotLoadedError();
    }
    const auto rule = rules->zones_.find(zone);
    if (rule == rules->zones_.end()) {
        return Error{ErrorKind::NotFound, "availability zone '" + zone.value() + "' is not in the rules", std::nullopt};
    }
    auto json = zoneStatus(rule->second);
    json["rule"] = ruleJson(rule->second.line_);
    auto guarantees = nlohmann::json::array();
    for (const auto &[team, perZone] : rules->guarantees_) {
        if (const auto found = perZone.find(zone); found != perZone.end()) {
            guarantees.push_back({{"team", team.value()}, {"accelerators", found->second.accelerators_}, {"rule", ruleJson(found->second.line_)}});
        }
    }
    json["guarantees"] = std::move(guarantees);
    return json;
}

auto ControlViews::status() const -> nlohmann::json
{
    const auto rules = control_.rules_.inForce();
    nlohmann::json json{{"instance", control_.settings_.id_.value()},
                        {"availability_zone", control_.settings_.zone_.value()},
                        {"incarnation", control_.incarnation_},
                        {"rules_version", rules ? rules->version_ : Offset(0)},
                        {"log_readable", !control_.rules_.unreachableSince()},
                        {"starts_allowed", control_.gate_.open_},
                        {"gate_reason", toString(control_.gate_.reason_)},
                        {"draining", control_.draining_},
                        {"availability_zones", nlohmann::json::array()},
                        {"peers", nlohmann::json::array()}};
    if (rules) {
        for (const auto &[id, rule] : rules->zones_) {
            json["availability_zones"].push_back(zoneStatus(rule));
        }
    }
    for (const auto &peer : control_.peers_.view().livePeers()) {
        json["peers"].push_back({{"instance", peer.id_.value()}, {"availability_zone", peer.zone_.value()}, {"leaving", peer.leaving_}});
    }
    return json;
}

auto ControlViews::ready() const -> Result<nlohmann::json>
{
    if (control_.draining_) {
        return Error{ErrorKind::Draining, "the instance is draining", std::nullopt};
    }
    if (!control_.rules_.inForce()) {
        return rulesNotLoadedError();
    }
    return nlohmann::json{{"status", "ready"}};
}

auto ControlViews::zoneStatus(const AvailabilityZoneRule &rule) const -> nlohmann::json
{
    const auto owner = control_.zones_.ownerOf(rule.zone_);
    nlohmann::json json{{"availability_zone", rule.zone_.value()},
                        {"state", rule.state_ == AvailabilityZoneState::In ? "in" : "out"},
                        {"owner", owner.owner_.value()},
                        {"epoch", owner.epoch_}};
    if (const auto *runtime = control_.zones_.runtimeOf(rule.zone_)) {
        const auto summary = runtime->summarize();
        json["scheduled_here"] = runtime->isScheduling();
        json["rank"] = runtime->epoch().rank_;
        json["free_accelerators"] = summary.freeAccelerators_;
        json["largest_free_gang"] = summary.largestFreeGang_;
        json["waiting_jobs"] = summary.waitingJobs_;
        json["running_tasks"] = summary.runningTasks_;
    } else if (const auto capacity = control_.peers_.view().capacity(rule.zone_)) {
        json["free_accelerators"] = capacity->freeAccelerators_;
        json["largest_free_gang"] = capacity->largestFreeGang_;
        json["waiting_jobs"] = capacity->waitingJobs_;
    }
    return json;
}
} // namespace Marjoramfold
