#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/result.h"
#include "marjoramfold/core/rulerecords.h"
#include "marjoramfold/rules/rulechecker.h"
#include "marjoramfold/rules/rulediff.h"
#include "marjoramfold/rules/rulelinecache.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace Marjoramfold
{
/// Why a publish was decided as it was.
enum class PublishDecision {
    Accepted,
    /// Its base version was not the version in force.
    StaleVersion,
    /// Its text has errors.
    InvalidRules,
};

/// A publish as every reader decided it.
struct PublishOutcome {
    RecordId id_;
    Offset offset_ = 0;
    WallTime time_;
    std::string author_;
    Offset baseVersion_ = 0;
    PublishDecision decision_ = PublishDecision::Accepted;
    /// Version in force before the decision; 0 for none.
    Offset previousVersion_ = 0;
    /// Errors of the text, for InvalidRules.
    std::vector<RuleProblem> errors_;
    /// Lines changed by others since the base, for StaleVersion.
    std::vector<RuleCollision> collisions_;
    /// Lines that changed, for Accepted; bounded, see changeCount_.
    std::vector<RuleChange> changes_;
    std::size_t changeCount_ = 0;
};

/// Limits of a rule store.
struct RuleStoreOptions {
    /// Outcomes that are remembered.
    std::size_t maxHistory_ = 200;
    /// Changed lines and errors that an outcome remembers.
    std::size_t maxDetails_ = 50;
    /// Earlier sets that are kept to show the collisions of a stale publish.
    std::size_t maxBaseSets_ = 8;
    /// Publishes that may wait until the version they are compared with is known.
    std::size_t maxUndecided_ = 32;
};

/// The rules as the records of the `config` stream make them: a pure state machine, so that all readers decide alike.
///
/// A reader of the whole log decides every publish. A reader whose log lost its beginning knows the version in force only
/// after a restatement, or a peer's copy, that was decided at or after the first record it read; until then publishes wait.
class RuleStore
{
public:
    explicit RuleStore(RuleStoreOptions options = {});

    /// Starts to read at the first offset the log keeps: at the beginning, and again after the reader fell behind retention.
    /// The set in force stays. The log is whole when first is 1 or less.
    auto startReading(Offset first) -> void;

    /// Applies the next record of the stream.
    auto apply(Offset offset, WallTime time, const PublishRecord &record) -> void;
    auto apply(Offset offset, WallTime time, const RuleSetRestatedRecord &record) -> void;

    /// All records below this offset have been applied. Needed because malformed records and other types are not applied.
    auto noteReadUpTo(Offset end) -> void;

    /// Takes a newer set from a peer that decided every publish below decidedUpTo. Error InvalidRules when the text does not check clean.
    auto adopt(Offset version, Offset decidedUpTo, std::string_view text) -> Result<Success>;

    /// The set in force; null before there is one.
    [[nodiscard]] auto inForce() const -> RuleSetPointer;

    /// Version in force; 0 for none.
    [[nodiscard]] auto version() const -> Offset;

    /// Every publish below this offset is decided; 0 while the version that later publishes are compared with is not known.
    [[nodiscard]] auto decidedUpTo() const -> Offset;

    /// Outcome of a publish, if it is decided and still remembered.
    [[nodiscard]] auto findOutcome(const RecordId &id) const -> std::optional<PublishOutcome>;

    /// Remembered outcomes, oldest first.
    [[nodiscard]] auto history() const -> const std::deque<PublishOutcome> &;

    /// True when the set in force must be appended again: its newest restatement is older than a quarter of the retention time.
    [[nodiscard]] auto mustRestate(WallTime now, std::chrono::milliseconds retention) const -> bool;

    /// The record that restates the set in force, under an id made by the writer.
    [[nodiscard]] auto restatement(RecordId id) const -> std::optional<RuleSetRestatedRecord>;

private:
    struct WaitingPublish {
        Offset offset_ = 0;
        WallTime time_;
        PublishRecord record_;
    };

    auto anchor(RuleSetPointer rules, Offset version, Offset decidedUpTo) -> void;
    auto decide(Offset offset, WallTime time, const PublishRecord &record) -> void;
    auto accept(PublishOutcome &outcome, RuleSet rules) -> void;
    auto raise(RuleSetPointer rules) -> void;
    auto remember(PublishOutcome outcome) -> void;
    [[nodiscard]] auto baseSet(Offset version) const -> const RuleSet *;

    RuleStoreOptions options_;
    /// The newest set, by the log or by a peer.
    RuleSetPointer inForce_;
    /// The set that the log made, as far as it is read; differs from inForce_ while a peer is ahead.
    RuleSetPointer logSet_;
    bool isAnchored_ = false;
    Offset first_ = 0;
    Offset readUpTo_ = 0;
    std::deque<WaitingPublish> waiting_;
    std::deque<RuleSetPointer> baseSets_;
    std::deque<PublishOutcome> history_;
    std::optional<WallTime> newestRestatement_;
    RuleLineCache lineCache_;
};
} // namespace Marjoramfold
