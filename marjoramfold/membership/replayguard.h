#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/membership/peermessages.h"

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace Marjoramfold
{
/// Result of checking a message for replay.
enum class ReplayCheckResult {
    Fresh,
    /// The sequence was seen before, or is too far behind the newest to be tracked.
    Replayed,
    /// A later incarnation of the same instance is known.
    StaleIncarnation,
};

/// Accepts each sequence of a sender's incarnation once. A sliding window permits reordered messages.
class ReplayGuard
{
public:
    /// Number of sequences below the newest of a sender that are still accepted.
    static constexpr std::size_t WindowSize = 1'024;

    /// Most senders that are tracked. A fleet replaces about 260 instances a day, so this covers two weeks.
    static constexpr std::size_t MaxSenders = 4'096;

    /// Checks an authenticated message and records its sequence when it is fresh.
    auto check(const InstanceId &sender, Incarnation incarnation, std::uint64_t sequence, SteadyTime now) -> ReplayCheckResult;

private:
    struct Sender {
        Incarnation incarnation_ = 0;
        std::uint64_t newest_ = 0;
        /// Bit i is set when the sequence newest_ - i was seen.
        std::bitset<WindowSize> seen_;
        SteadyTime lastContact_;
    };

    auto evictOldest() -> void;

    std::unordered_map<InstanceId, Sender> senders_;
};
} // namespace Marjoramfold
