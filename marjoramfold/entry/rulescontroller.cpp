#include "marjoramfold/entry/rulescontroller.h"

#include <fmt/format.h>
#include <glog/logging.h>

#include <utility>

namespace Marjoramfold
{
namespace
{
// Long enough for an append whose first answer is lost, and shorter than the timeout of operators' clients.
constexpr std::chrono::milliseconds PublishTimeout{10'000};

// A read that reaches the end confirms the rules as of its start, so a short wait keeps confirmations recent for the start gate.
constexpr std::chrono::milliseconds LongPollWait{500};

auto appendOptions() -> AppendQueueOptions
{
    AppendQueueOptions options;
    options.stream_ = LogStream::Config;
    return options;
}

auto followerOptions() -> LogFollowerOptions
{
    LogFollowerOptions options;
    options.stream_ = LogStream::Config;
    options.wait_ = LongPollWait;
    return options;
}

auto toString(PublishDecision decision) -> std::string_view
{
    switch (decision) {
    case PublishDecision::Accepted:
        return "accepted";
    case PublishDecision::StaleVersion:
        return "stale_version";
    case PublishDecision::InvalidRules:
        return "invalid_rules";
    }
    return "unknown";
}

auto lineJson(const std::optional<RuleLine> &line) -> nlohmann::json
{
    return line ? nlohmann::json{{"line", line->number_}, {"text", line->text_}, {"asked_by", line->askedBy_}} : nlohmann::json();
}

auto outcomeJson(const PublishOutcome &outcome) -> nlohmann::json
{
    auto changes = nlohmann::json::array();
    for (const auto &change : outcome.changes_) {
        changes.push_back({{"key", change.key_}, {"before", lineJson(change.before_)}, {"after", lineJson(change.after_)}});
    }
    auto collisions = nlohmann::json::array();
    for (const auto &collision : outcome.collisions_) {
        collisions.push_back({{"key", collision.key_}, {"in_force", lineJson(collision.inForce_)}, {"published", lineJson(collision.published_)}});
    }
    return {{"publish_id", outcome.id_.value()},
            {"version", outcome.offset_},
            {"time_ms", toUnixMilliseconds(outcome.time_).count()},
            {"author", outcome.author_},
            {"base_version", outcome.baseVersion_},
            {"decision", toString(outcome.decision_)},
            {"changes", std::move(changes)},
            {"collisions", std::move(collisions)}};
}

auto describeProblems(const std::vector<RuleProblem> &problems) -> std::string
{
    std::string text;
    for (const auto &problem : problems) {
        text += fmt::format("{}{}:{}: {}", text.empty() ? "" : "\n", problem.line_, problem.column_, problem.message_);
    }
    return text;
}

auto describeCollisions(const PublishOutcome &outcome) -> std::string
{
    auto text = "edited from version " + std::to_string(outcome.baseVersion_) + ", but version " + std::to_string(outcome.previousVersion_) + " is in force";
    for (const auto &collision : outcome.collisions_) {
        text += "\n" + collision.key_ + ": in force: " + (collision.inForce_ ? collision.inForce_->text_ : std::string("(removed)"));
    }
    return text;
}

/// Answer to the caller that published.
auto answerOf(const PublishOutcome &outcome) -> Result<nlohmann::json>
{
    switch (outcome.decision_) {
    case PublishDecision::Accepted:
        return outcomeJson(outcome);
    case PublishDecision::StaleVersion:
        return Error{ErrorKind::StaleVersion, describeCollisions(outcome), std::nullopt};
    case PublishDecision::InvalidRules:
        return Error{ErrorKind::InvalidRules, describeProblems(outcome.errors_), std::nullopt};
    }
    return Error{ErrorKind::Internal, "unknown decision", std::nullopt};
}
} // namespace

RulesController::RulesController(asio::io_context &context, LogClient &log, Clock clock, std::chrono::milliseconds retention, RulesControllerHooks hooks)
    : clock_(std::move(clock))
    , retention_(retention)
    , hooks_(std::move(hooks))
    , appends_(context, log, clock_, appendOptions())
    , follower_(context,
                log,
                clock_,
                followerOptions(),
                {[this](Offset first) {
                     store_.startReading(first);
                 },
                 [this](const std::vector<FollowedRecord> &records) {
                     handleRecords(records);
                 },
                 [this] {
                     handleProgress();
                 }})
{
}

auto RulesController::start() -> void
{
    follower_.start();
}

auto RulesController::publish(PublishCommand command, JsonCallback done) -> void
{
    // A repeated publish that was already decided gets the same outcome.
    if (const auto outcome = store_.findOutcome(command.publishId_)) {
        done(answerOf(*outcome));
        return;
    }
    const auto check = checkRules(command.text_);
    if (!check.isClean()) {
        done(Error{ErrorKind::InvalidRules, describeProblems(check.errors_), std::nullopt});
        return;
    }
    const auto id = command.publishId_;
    const auto isRepeat = pending_.contains(id);
    pending_[id] = {std::move(done), clock_.steadyNow_() + PublishTimeout};
    if (isRepeat) {
        return;
    }
    LOG(INFO) << "publish_received publish=" << id.value() << " base_version=" << command.baseVersion_ << " author=\"" << command.author_ << "\"";
    appends_.append(
        PublishRecord{id, command.baseVersion_, std::move(command.author_), std::move(command.text_)}, PublishTimeout, [this, id](const AppendReport &report) {
            if (report.outcome_ == AppendOutcome::NotAppended) {
                finishPublish(id, report.error_);
            } else if (report.outcome_ == AppendOutcome::Undetermined) {
                finishPublish(id, Error{ErrorKind::MaybeRan, "the log did not confirm the append; look up the publish id in the rules history", std::nullopt});
            }
        });
}

auto RulesController::adopt(Offset version, const std::string &text) -> void
{
    // A peer with this version in force has decided every publish up to and including it.
    const auto adopted = store_.adopt(version, version + 1, text);
    if (!isOk(adopted)) {
        LOG(WARNING) << "peer_rules_refused version=" << version << " error=\"" << errorOf(adopted).message_ << "\"";
    }
    announceChange();
}

auto RulesController::tick(SteadyTime now) -> void
{
    for (auto entry = pending_.begin(); entry != pending_.end();) {
        const auto id = entry->first;
        const auto isLate = now >= entry->second.deadline_;
        ++entry;
        if (isLate) {
            finishPublish(id, Error{ErrorKind::MaybeRan, "the outcome is not known yet; look up the publish id in the rules history", std::nullopt});
        }
    }
    if (!restating_ && hooks_.shouldRestate_() && store_.mustRestate(clock_.wallNow_(), retention_)) {
        restate();
    }
}

auto RulesController::inForce() const -> RuleSetPointer
{
    return store_.inForce();
}

auto RulesController::confirmedAt() const -> std::optional<SteadyTime>
{
    // While publishes already read are undecided, the log may hold newer rules than those in force.
    return store_.decidedUpTo() == 0 ? std::nullopt : follower_.confirmedAt();
}

auto RulesController::unreachableSince() const -> std::optional<SteadyTime>
{
    return follower_.unreachableSince();
}

auto RulesController::rulesJson() const -> Result<nlohmann::json>
{
    const auto rules = store_.inForce();
    if (!rules) {
        return Error{ErrorKind::RulesNotLoaded, "no rules are in force yet", std::nullopt};
    }
    return nlohmann::json{{"version", rules->version_}, {"text", rules->text_}};
}

auto RulesController::historyJson() const -> nlohmann::json
{
    auto publishes = nlohmann::json::array();
    for (const auto &outcome : store_.history()) {
        publishes.push_back(outcomeJson(outcome));
    }
    return {{"version", store_.version()}, {"publishes", std::move(publishes)}};
}

auto RulesController::handleRecords(const std::vector<FollowedRecord> &records) -> void
{
    for (const auto &record : records) {
        if (const auto *publish = std::get_if<PublishRecord>(&record.record_)) {
            store_.apply(record.offset_, record.time_, *publish);
        } else if (const auto *restated = std::get_if<RuleSetRestatedRecord>(&record.record_)) {
            store_.apply(record.offset_, record.time_, *restated);
        }
    }
}

auto RulesController::handleProgress() -> void
{
    store_.noteReadUpTo(follower_.position());
    announceChange();
    answerDecidedPublishes();
}

auto RulesController::announceChange() -> void
{
    const auto rules = store_.inForce();
    if (!rules || rules->version_ <= announcedVersion_) {
        return;
    }
    announcedVersion_ = rules->version_;
    LOG(INFO) << "rules_in_force version=" << rules->version_;
    hooks_.onRulesChanged_(rules);
}

auto RulesController::answerDecidedPublishes() -> void
{
    std::vector<RecordId> ids;
    for (const auto &[id, pending] : pending_) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        if (const auto outcome = store_.findOutcome(id)) {
            LOG(INFO) << "publish_decided publish=" << id.value() << " decision=" << toString(outcome->decision_) << " version=" << outcome->offset_;
            finishPublish(id, answerOf(*outcome));
        }
    }
}

auto RulesController::finishPublish(const RecordId &id, Result<nlohmann::json> result) -> void
{
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
        return;
    }
    const auto done = std::move(found->second.done_);
    pending_.erase(found);
    done(std::move(result));
}

auto RulesController::restate() -> void
{
    const auto record = store_.restatement(hooks_.newRecordId_());
    if (!record) {
        return;
    }
    restating_ = true;
    appends_.append(*record, PublishTimeout, [this](const AppendReport &report) {
        // After an unknown outcome the record may still be appended; a second restatement is harmless.
        restating_ = false;
        LOG(INFO) << "rules_restated appended=" << (report.outcome_ == AppendOutcome::Appended);
    });
}
} // namespace Marjoramfold
