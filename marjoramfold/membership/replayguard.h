#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/core/ids.h"
#include "marjoramfold/membership/peermessages.h"

#include <bitset>
#include <cstdint>
#include <unordered_map>

namespace Marjoramfold
{
/// What a replay guard says about a message.
enum class ReplayVerdict {
    Fresh,
    /// The sequence was seen before, or is too far behind the newest to tell.
    Replayed,
    /// A later run of the same instance is known.
    StaleIncarnation,
};

/// Accepts every sequence of a sender's incarnation once. A sliding window lets messages overtake one another.
class ReplayGuard
{
public:
    /// Sequences that a message may be behind the newest of its sender.
    static constexpr std::size_t WindowSize = 1'024;

    /// Most senders that are remembered. A fleet replaces about 260 instances a day, so this covers two weeks.
    static constexpr std::size_t MaxSenders = 4'096;

    /// Judges an authenticated message and remembers it when it is fresh.
    auto check(const InstanceId &sender, Incarnation incarnation, std::uint64_t sequence, SteadyTime now) -> ReplayVerdict;

private:
    struct Sender {
        Incarnation incarnation_ = 0;
        std::uint64_t newest_ = 0;
        /// Bit i is set when the sequence newest_ - i was seen.
        std::bitset<WindowSize> seen_;
        SteadyTime lastHeard_;
    };

    auto forgetOldest() -> void;

    std::unordered_map<InstanceId, Sender> senders_;
};
} // namespace Marjoramfold
