#include "marjoramfold/membership/replayguard.h"

#include <algorithm>

namespace Marjoramfold
{
auto ReplayGuard::check(const InstanceId &sender, Incarnation incarnation, std::uint64_t sequence, SteadyTime now) -> ReplayVerdict
{
    auto found = senders_.find(sender);
    if (found == senders_.end()) {
        if (senders_.size() >= MaxSenders) {
            forgetOldest();
        }
        found = senders_.try_emplace(sender).first;
        found->second.incarnation_ = incarnation;
    }
    auto &state = found->second;
    if (incarnation < state.incarnation_) {
        return ReplayVerdict::StaleIncarnation;
    }
    if (incarnation > state.incarnation_) {
        state = Sender{};
        state.incarnation_ = incarnation;
    }
    state.lastHeard_ = now;

    // A newer sequence moves the window; an older one must fall into it and be unseen.
    if (sequence > state.newest_) {
        const auto shift = sequence - state.newest_;
        state.seen_ = shift >= WindowSize ? std::bitset<WindowSize>() : state.seen_ << static_cast<std::size_t>(shift);
        state.newest_ = sequence;
        state.seen_.set(0);
        return ReplayVerdict::Fresh;
    }
    const auto behind = state.newest_ - sequence;
    if (behind >= WindowSize || state.seen_.test(static_cast<std::size_t>(behind))) {
        return ReplayVerdict::Replayed;
    }
    state.seen_.set(static_cast<std::size_t>(behind));
    return ReplayVerdict::Fresh;
}

auto ReplayGuard::forgetOldest() -> void
{
    const auto oldest = std::min_element(senders_.begin(), senders_.end(), [](const auto &left, const auto &right) {
        return left.second.lastHeard_ < right.second.lastHeard_;
    });
    senders_.erase(oldest);
}
} // namespace Marjoramfold
