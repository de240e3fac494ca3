#include "marjoramfold/rules/rulestore.h"

#include <algorithm>
#include <utility>

namespace Marjoramfold
{
namespace
{
/// Fraction of the retention time after which a set is appended again; leaves three quarters for outages.
constexpr int RestateFraction = 4;

auto versionOf(const RuleSetPointer &rules) -> Offset
{
    return rules ? rules->version_ : 0;
}

/// The set of a text that checked clean somewhere already, or null.
auto cleanSet(Offset version, std::string_view text) -> RuleSetPointer
{
    auto check = checkRules(text);
    if (!check.isClean()) {
        return nullptr;
    }
    check.rules_.version_ = version;
    return std::make_shared<const RuleSet>(std::move(check.rules_));
}

template<typename Item>
auto keepFirst(std::vector<Item> &items, std::size_t count) -> void
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
    waiting_.clear();
    logSet_ = nullptr;
    isAnchored_ = first <= 1;
    newestRestatement_.reset();
}

auto RuleStore::apply(Offset offset, WallTime time, const PublishRecord &record) -> void
{
    readUpTo_ = std::max(readUpTo_, offset + 1);
    if (isAnchored_) {
        decide(offset, time, record);
        return;
    }
    waiting_.push_back({offset, time, record});
    // Without an anchor the log cannot be decided; the oldest publishes are dropped, since an anchor usually follows them.
    if (waiting_.size() > options_.maxUndecided_) {
        first_ = waiting_.front().offset_ + 1;
        waiting_.pop_front();
    }
}

auto RuleStore::apply(Offset offset, WallTime time, const RuleSetRestatedRecord &record) -> void
{
    readUpTo_ = std::max(readUpTo_, offset + 1);
    if (record.version_ >= offset || record.decidedUpTo_ > offset) {
        return;
    }
    if (isAnchored_ && record.version_ <= versionOf(logSet_)) {
        // A copy of an older version still anchors later readers, who then find the newer publish behind it.
        newestRestatement_ = time;
        return;
    }
    auto rules = record.version_ == 0 ? nullptr : cleanSet(record.version_, record.text_);
    if (record.version_ != 0 && !rules) {
        return;
    }
    newestRestatement_ = time;
    if (isAnchored_) {
        // The writer knew an accepted version that this reader missed: from here on both decide alike again.
        logSet_ = rules;
    }
    anchor(std::move(rules), record.version_, record.decidedUpTo_);
}

auto RuleStore::noteReadUpTo(Offset end) -> void
{
    readUpTo_ = std::max(readUpTo_, end);
}

auto RuleStore::adopt(Offset version, Offset decidedUpTo, std::string_view text) -> Result<Success>
{
    if (version == 0 || (isAnchored_ && version <= this->version())) {
        return Success{};
    }
    auto rules = cleanSet(version, text);
    if (!rules) {
        return Error{ErrorKind::InvalidRules, "a peer's rule set of version " + std::to_string(version) + " does not check clean", std::nullopt};
    }
    anchor(std::move(rules), version, decidedUpTo);
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
    return isAnchored_ ? readUpTo_ : 0;
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
    if (!inForce_ || !isAnchored_) {
        return false;
    }
    return !newestRestatement_ || now - *newestRestatement_ > retention / RestateFraction;
}

auto RuleStore::restatement(RecordId id) const -> std::optional<RuleSetRestatedRecord>
{
    if (!inForce_ || !isAnchored_) {
        return std::nullopt;
    }
    return RuleSetRestatedRecord{std::move(id), version(), std::max(readUpTo_, version() + 1), {}, inForce_->text_};
}

/// Learns that a version was in force when every publish below decidedUpTo was decided.
auto RuleStore::anchor(RuleSetPointer rules, Offset version, Offset decidedUpTo) -> void
{
    if (rules) {
        raise(rules);
    }
    // A version that lies in what was read is known to be accepted, so it anchors by itself.
    const auto isUsable = decidedUpTo >= first_ || version >= first_;
    if (isAnchored_ || !isUsable) {
        return;
    }
    isAnchored_ = true;
    logSet_ = std::move(rules);
    for (const auto &publish : std::exchange(waiting_, {})) {
        if (publish.offset_ > version) {
            decide(publish.offset_, publish.time_, publish.record_);
        }
    }
}

auto RuleStore::decide(Offset offset, WallTime time, const PublishRecord &record) -> void
{
    // A set that came ahead of the log, in a restatement, has decided every publish up to it.
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
    // A repeat is decided by its base version like any other publish, so that the decision needs no memory of ids; its own
    // first copy has made that base stale.
    if (outcome.decision_ == PublishDecision::Accepted || !findOutcome(record.id_)) {
        remember(std::move(outcome));
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
    raise(logSet_);
    if (first_ <= 1 && !newestRestatement_) {
        // The log is whole, so the publish record itself is the oldest copy.
        newestRestatement_ = outcome.time_;
    }
}

/// Puts a set in force unless a newer one is: a version only moves up.
auto RuleStore::raise(RuleSetPointer rules) -> void
{
    if (rules->version_ > version()) {
        inForce_ = std::move(rules);
    }
}

auto RuleStore::remember(PublishOutcome outcome) -> void
{
    keepFirst(outcome.errors_, options_.maxDetails_);
    keepFirst(outcome.collisions_, options_.maxDetails_);
    keepFirst(outcome.changes_, options_.maxDetails_);
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
