#pragma once

#include "marjoramfold/core/ids.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// The line of the rules file that a rule came from.
struct RuleLine {
    /// Line number, from 1.
    int number_ = 0;
    /// The line as written, with its comment.
    std::string text_;
    /// Person who requested the rule, from the comment "asked by NAME: reason".
    std::string askedBy_;
};

/// Whether operators allow work to start in an availability zone.
enum class AvailabilityZoneState {
    In,
    Out,
};

/// `availability_zone.ZONE`: state and declared capacity of an availability zone.
struct AvailabilityZoneRule {
    AvailabilityZoneId zone_;
    AvailabilityZoneState state_ = AvailabilityZoneState::In;
    int workers_ = 0;
    int workersPerRack_ = 0;
    int acceleratorsPerWorker_ = 0;
    RuleLine line_;
};

/// `guarantee.TEAM.ZONE`: accelerators that a team can always reclaim, in shapes of perWorker_ accelerators on one worker.
struct GuaranteeRule {
    TeamId team_;
    AvailabilityZoneId zone_;
    int accelerators_ = 0;
    int perWorker_ = 1;
    RuleLine line_;
};

/// `priority.TEAM`: order between teams for capacity that no guarantee covers; the higher level is served first.
struct PriorityRule {
    TeamId team_;
    int level_ = 0;
    RuleLine line_;
};

/// `quota.TEAM`: limit on the accelerators that a team uses at a time in all availability zones together.
struct QuotaRule {
    TeamId team_;
    int accelerators_ = 0;
    RuleLine line_;
};

/// A checked set of rules. The maps are ordered, so that every reader iterates in the same order.
struct RuleSet {
    /// Offset of the publish record of this set; 0 for none.
    Offset version_ = 0;
    std::map<AvailabilityZoneId, AvailabilityZoneRule> zones_;
    std::map<TeamId, std::map<AvailabilityZoneId, GuaranteeRule>> guarantees_;
    std::map<TeamId, PriorityRule> priorities_;
    std::map<TeamId, QuotaRule> quotas_;
    /// The whole file as published.
    std::string text_;
};

using RuleSetPointer = std::shared_ptr<const RuleSet>;
} // namespace Marjoramfold
