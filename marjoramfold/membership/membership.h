#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/membershipmessages.h"
#include "marjoramfold/membership/membershipoptions.h"

#include <memory>
#include <vector>

namespace Marjoramfold
{
class MembershipView;

/// State machine of the cluster membership. Deterministic and without I/O: handles events at a given time and returns commands.
///
/// Members of an availability zone send heartbeats to the next members by id. The member with the lowest live id of a zone is its
/// delegate: it exchanges digests with the delegates of the other zones and distributes them within its zone by gossip.
class Membership
{
public:
    explicit Membership(MembershipOptions options);
    ~Membership();
    Membership(Membership &&) noexcept;
    auto operator=(Membership &&) noexcept -> Membership &;

    /// Handles one event. Times must not decrease between calls.
    [[nodiscard]] auto handle(const MembershipEvent &event, SteadyTime now) -> std::vector<MembershipCommand>;

    /// Queries of the current state; valid as long as this object.
    [[nodiscard]] auto view() const -> const MembershipView &;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};
} // namespace Marjoramfold
