#pragma once

#include "marjoramfold/api/controlapi.h"
#include "marjoramfold/log/appendqueue.h"
#include "marjoramfold/log/logfollower.h"
#include "marjoramfold/rules/rulestore.h"

#include <map>

namespace Marjoramfold
{
/// Callbacks of the rules controller.
struct RulesControllerHooks {
    /// A newer rule set came into force.
    std::function<void(const RuleSetPointer &rules)> onRulesChanged_;
    /// Whether this instance restates the rules before the log's retention drops them; only one instance does.
    std::function<bool()> shouldRestate_;
    std::function<RecordId()> newRecordId_;
};

/// Follows the stream `config`, holds the rule set in force and publishes new ones. Control thread only.
class RulesController
{
public:
    RulesController(asio::io_context &context, LogClient &log, Clock clock, std::chrono::milliseconds retention, RulesControllerHooks hooks);

    auto start() -> void;

    /// Publishes a rule set. Answers when the outcome is known, or with an error whose kind says whether it may still take effect.
    auto publish(PublishCommand command, JsonCallback done) -> void;

    /// Adopts a newer rule set that a peer has in force.
    auto adopt(Offset version, const std::string &text) -> void;

    /// Times out publishes without an outcome, and restates the rules when due.
    auto tick(SteadyTime now) -> void;

    [[nodiscard]] auto inForce() const -> RuleSetPointer;

    /// Start of the last own read that reached the end of the stream.
    [[nodiscard]] auto confirmedAt() const -> std::optional<SteadyTime>;
    [[nodiscard]] auto unreachableSince() const -> std::optional<SteadyTime>;

    /// {"version","text"} of the set in force.
    [[nodiscard]] auto rulesJson() const -> Result<nlohmann::json>;

    /// {"publishes":[...]} with decisions, oldest first.
    [[nodiscard]] auto historyJson() const -> nlohmann::json;

private:
    struct PendingPublish {
        JsonCallback done_;
        SteadyTime deadline_;
    };

    auto handleRecords(const std::vector<FollowedRecord> &records) -> void;
    auto handleProgress() -> void;
    auto announceChange() -> void;
    auto answerDecidedPublishes() -> void;
    auto finishPublish(const RecordId &id, Result<nlohmann::json> result) -> void;
    auto restate() -> void;

    Clock clock_;
    std::chrono::milliseconds retention_;
    RulesControllerHooks hooks_;
    RuleStore store_;
    AppendQueue appends_;
    LogFollower follower_;
    Offset announcedVersion_ = 0;
    std::map<RecordId, PendingPublish> pending_;
    bool restating_ = false;
};
} // namespace Marjoramfold
