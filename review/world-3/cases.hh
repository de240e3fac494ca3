#pragma once

#include <functional>
#include <map>
#include <string>

namespace Review
{
/// How a case is played.
struct CaseOptions {
    std::string folder_;
    /// Program of the instances.
    std::string program_;
    bool withTrouble_ = true;
};

/// Exit statuses of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

/// All cases by name.
auto cases() -> const std::map<std::string, std::function<int(const CaseOptions &)>> &;
} // namespace Review
