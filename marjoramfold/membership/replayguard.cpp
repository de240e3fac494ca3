#include "marjoramfold/membership/replayguard.h"

#include <algorithm>

namespace Marjoramfold
{
auto ReplayGuard::check(const InstanceId &sender, Incarnation incarnation, std::uint64_t sequence, SteadyTime now) -> ReplayCheckResult
{
    auto found = senders_.find(sender);
    if (found == senders_.end()) {
        if (senders_.size() >= MaxSenders) {
            evictOldest();
        }
        found = senders_.try_emplace(sender).first;
        found->second.incarnation_ = incarnation;
    }
    auto &state = found->second;
    if (incarnation < state.incarnation_) {
        return ReplayCheckResult::StaleIncarnation;
    }
    if (incarnation > state.incarnation_) {
        state = Sender{};
        state.incarnation_ = incarnation;
    }
    state.lastContact_ = now;

    // A newer sequence advances the window; an older one must be inside it and unseen.
    if (sequence > state.newest_) {
        const auto shift = sequence - state.newest_;
        state.seen_ = shift >= WindowSize ? std::bitset<WindowSize>() : state.seen_ << static_cast<std::size_t>(shift);
        state.newest_ = sequence;
        state.seen_.set(0);
        return ReplayCheckResult::Fresh;
    }
    const auto behind = state.newest_ - sequence;
    if (behind >= WindowSize || state.seen_.test(static_cast<std::size_t>(behind))) {
        return ReplayCheckResult::Replayed;
    }
    state.seen_.set(static_cast<std::size_t>(behind));
    return ReplayCheckResult::Fresh;
}

auto ReplayGuard::evictOldest() -> void
{
    const auto oldest = std::min_element(senders_.begin(), senders_.end(), [](const auto &left, const auto &right) {
        return left.second.lastContact_ < right.second.lastContact_;
    });
    senders_.erase(oldest);
}
} // namespace Marjoramfold
