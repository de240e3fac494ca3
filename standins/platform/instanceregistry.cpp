#include "standins/platform/instanceregistry.h"

#include <utility>

namespace Marjoramfold::Standin
{
namespace
{
/// An instance without a heartbeat for this long is removed.
constexpr std::chrono::milliseconds HeartbeatTimeout{5'000};
} // namespace

auto InstanceRegistry::setLag(std::chrono::milliseconds lag) -> void
{
    lag_ = lag;
}

auto InstanceRegistry::announce(const InstanceEntry &instance, SteadyTime now) -> void
{
    auto &entry = entries_[instance.id_];
    entry.lastHeartbeat_ = now;
    record(entry, instance, now);
}

auto InstanceRegistry::addStatic(const InstanceEntry &instance, SteadyTime now) -> void
{
    auto &entry = entries_[instance.id_];
    entry.lastHeartbeat_.reset();
    // The change is backdated, so that the lag does not hide a static entry.
    record(entry, instance, now - std::chrono::hours(1));
}

auto InstanceRegistry::remove(const std::string &id, SteadyTime now) -> void
{
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        found->second.lastHeartbeat_.reset();
        record(found->second, std::nullopt, now);
    }
}

auto InstanceRegistry::list(SteadyTime now) -> std::vector<InstanceEntry>
{
    const auto asOf = now - lag_;
    std::vector<InstanceEntry> listed;
    for (auto &[id, entry] : entries_) {
        if (entry.lastHeartbeat_ && now - *entry.lastHeartbeat_ > HeartbeatTimeout) {
            const auto timedOutAt = *entry.lastHeartbeat_ + HeartbeatTimeout;
            entry.lastHeartbeat_.reset();
            record(entry, std::nullopt, timedOutAt);
        }
        // Changes before the one in effect are kept only in case the lag is increased.
        const Change *inEffect = nullptr;
        for (const auto &change : entry.changes_) {
            inEffect = change.at_ <= asOf ? &change : inEffect;
        }
        if (inEffect != nullptr && inEffect->instance_) {
            listed.push_back(*inEffect->instance_);
        }
    }
    return listed;
}

auto InstanceRegistry::lag() const -> std::chrono::milliseconds
{
    return lag_;
}

auto InstanceRegistry::record(Entry &entry, std::optional<InstanceEntry> instance, SteadyTime at) -> void
{
    constexpr std::size_t MaxChangesPerInstance = 32;
    const auto *last = entry.changes_.empty() ? nullptr : &entry.changes_.back().instance_;
    const auto isSame = last != nullptr && last->has_value() == instance.has_value() && (!instance || encodeInstance(**last) == encodeInstance(*instance));
    if (isSame) {
        return;
    }
    entry.changes_.push_back({at, std::move(instance)});
    if (entry.changes_.size() > MaxChangesPerInstance) {
        entry.changes_.pop_front();
    }
}
} // namespace Marjoramfold::Standin
