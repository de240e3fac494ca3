#include "marjoramfold/rules/rulestore.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// The set in force is appended again after a quarter of the retention time; three quarters are left for outages.
constexpr int RestatesPerRetention = 4;

auto versionOf(const RuleSetPointer &rules) -> Offset
{
    return rules ? rules->version_ : 0;
}

/// Parses a text that another instance has already accepted; null when it has errors.
auto parseAcceptedSet(Offset version, std::string_view text) -> RuleSetPointer
{
    auto check = checkRules(text);
    if (!check.isClean()) {
        return nullptr;
    }
    check.rules_.version_ = version;
    return std::make_shared<const RuleSet>(std::move(check.rules_));
}

template<typename Item>
auto truncate(std::vector<Item> &items, std::size_t count) -> void
{
    if (items.size() > count) {
        items.resize(count);
    }
}
} // namespace

RuleStore::RuleStore(RuleStoreOptions options)
    : options_(options)
{
}

auto RuleStore::startReading(Offset first) -> void
{
    first_ = first;
    readUpTo_ = first;
    undecided_.clear();
    logSet_ = nullptr;
    hasBaseline_ = first <= 1;
    newestRestatement_.reset();
}

auto RuleStore::apply(Offset offset, WallTime time, const PublishRecord &record) -> void
{
    readUpTo_ = std::max(readUpTo_, offset + 1);
    if (hasBaseline_) {
        decide(offset, time, record);
        return;
    }
    undecided_.push_back({offset, time, record});
    // Without a baseline no publish can be decided. The oldest are dropped, since a baseline usually comes after them.
    if (undecided_.size() > options_.maxUndecided_) {
        first_ = undecided_.front().offset_ + 1;
        undecided_.pop_front();
    }
}

auto RuleStore::apply(Offset offset, WallTime time, const RuleSetRestatedRecord &record) -> void
{
    readUpTo_ = std::max(readUpTo_, offset + 1);
    if (record.version_ >= offset || record.decidedUpTo_ > offset) {
        return;
    }
    if (hasBaseline_ && record.version_ <= versionOf(logSet_)) {
        // A copy of an older version still gives later readers a baseline; they then read the newer publish after it.
        newestRestatement_ = time;
        return;
    }
    auto rules = record.version_ == 0 ? nullptr : parseAcceptedSet(record.version_, record.text_);
    if (record.version_ != 0 && !rules) {
        return;
    }
    newestRestatement_ = time;
    if (hasBaseline_) {
        // This reader missed a version that the writer had accepted; from here on both make the same decisions again.
        logSet_ = rules;
    }
    setBaseline(std::move(rules), record.version_, record.decidedUpTo_);
}

auto RuleStore::noteReadUpTo(Offset end) -> void
{
    readUpTo_ = std::max(readUpTo_, end);
}

auto RuleStore::adopt(Offset version, Offset decidedUpTo, std::string_view text) -> Result<Success>
{
    if (version == 0 || (hasBaseline_ && version <= this->version())) {
        return Success{};
    }
    auto rules = parseAcceptedSet(version, text);
    if (!rules) {
        return Error{ErrorKind::InvalidRules,
                     "the rule set of version " + std::to_string(version) + " received from a peer has errors; it is not put in force",
                     std::nullopt};
    }
    setBaseline(std::move(rules), version, decidedUpTo);
    return Success{};
}

auto RuleStore::inForce() const -> RuleSetPointer
{
    return inForce_;
}

auto RuleStore::version() const -> Offset
{
    return versionOf(inForce_);
}

auto RuleStore::decidedUpTo() const -> Offset
{
    return hasBaseline_ ? readUpTo_ : 0;
}

auto RuleStore::findOutcome(const RecordId &id) const -> std::optional<PublishOutcome>
{
    const auto found = std::find_if(history_.begin(), history_.end(), [&](const PublishOutcome &outcome) {
        return outcome.id_ == id;
    });
    return found == history_.end() ? std::nullopt : std::optional(*found);
}

auto RuleStore::history() const -> const std::deque<PublishOutcome> &
{
    return history_;
}

auto RuleStore::mustRestate(WallTime now, std::chrono::milliseconds retention) const -> bool
{
    if (!inForce_ || !hasBaseline_) {
        return false;
    }
    return !newestRestatement_ || now - *newestRestatement_ > retention / RestatesPerRetention;
}

auto RuleStore::restatement(RecordId id) const -> std::optional<RuleSetRestatedRecord>
{
    if (!inForce_ || !hasBaseline_) {
        return std::nullopt;
    }
    return RuleSetRestatedRecord{std::move(id), version(), std::max(readUpTo_, version() + 1), {}, inForce_->text_};
}

/// Handles a version that was in force after every publish below decidedUpTo had been decided. It becomes the baseline for later publishes.
auto RuleStore::setBaseline(RuleSetPointer rules, Offset version, Offset decidedUpTo) -> void
{
    if (rules) {
        setInForceIfNewer(rules);
    }
    // A version within the records read is known to be accepted, so it is a baseline by itself.
    const auto isUsable = decidedUpTo >= first_ || version >= first_;
    if (hasBaseline_ || !isUsable) {
        return;
    }
    hasBaseline_ = true;
    logSet_ = std::move(rules);
    for (const auto &publish : std::exchange(undecided_, {})) {
        if (publish.offset_ > version) {
            decide(publish.offset_, publish.time_, publish.record_);
        }
    }
}

auto RuleStore::decide(Offset offset, WallTime time, const PublishRecord &record) -> void
{
    // A set from a restatement that is ahead of the log covers every publish up to its version.
    const auto inForceByLog = versionOf(logSet_);
    if (offset <= inForceByLog) {
        return;
    }
    PublishOutcome outcome{record.id_, offset, time, record.author_, record.baseVersion_, PublishDecision::Accepted, inForceByLog, {}, {}, {}, 0};
    auto check = checkRules(record.text_, &lineCache_);
    check.rules_.version_ = offset;
    if (record.baseVersion_ != inForceByLog) {
        outcome.decision_ = PublishDecision::StaleVersion;
        outcome.collisions_ = findCollisions(baseSet(record.baseVersion_), logSet_ ? *logSet_ : RuleSet{}, check.rules_);
    } else if (!check.isClean()) {
        outcome.decision_ = PublishDecision::InvalidRules;
    } else {
        accept(outcome, std::move(check.rules_));
    }
    outcome.errors_ = std::move(check.errors_);
    // A repeated record is decided by its base version like any other, so that no ids have to be kept; its first copy has made
    // that base stale.
    if (outcome.decision_ == PublishDecision::Accepted || !findOutcome(record.id_)) {
        addToHistory(std::move(outcome));
    }
}

auto RuleStore::accept(PublishOutcome &outcome, RuleSet rules) -> void
{
    outcome.changes_ = diffRules(logSet_ ? *logSet_ : RuleSet{}, rules);
    outcome.changeCount_ = outcome.changes_.size();
    if (logSet_) {
        baseSets_.push_back(logSet_);
        if (baseSets_.size() > options_.maxBaseSets_) {
            baseSets_.pop_front();
        }
    }
    logSet_ = std::make_shared<const RuleSet>(std::move(rules));
    setInForceIfNewer(logSet_);
    if (first_ <= 1 && !newestRestatement_) {
        // The log is complete, so the publish record itself is the first copy.
        newestRestatement_ = outcome.time_;
    }
}

/// Versions in force only increase.
auto RuleStore::setInForceIfNewer(RuleSetPointer rules) -> void
{
    if (rules->version_ > version()) {
        inForce_ = std::move(rules);
    }
}

auto RuleStore::addToHistory(PublishOutcome outcome) -> void
{
    truncate(outcome.errors_, options_.maxDetails_);
    truncate(outcome.collisions_, options_.maxDetails_);
    truncate(outcome.changes_, options_.maxDetails_);
    history_.push_back(std::move(outcome));
    if (history_.size() > options_.maxHistory_) {
        history_.pop_front();
    }
}

auto RuleStore::baseSet(Offset version) const -> const RuleSet *
{
    const auto found = std::find_if(baseSets_.begin(), baseSets_.end(), [&](const RuleSetPointer &rules) {
        return rules->version_ == version;
    });
    return found == baseSets_.end() ? nullptr : found->get();
}
} // namespace Marjoramfold
