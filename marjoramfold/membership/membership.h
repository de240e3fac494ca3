#pragma once

#include "marjoramfold/core/clock.h"
#include "marjoramfold/membership/membershipmessages.h"
#include "marjoramfold/membership/membershipoptions.h"

#include <memory>
#include <vector>

namespace Marjoramfold
{
class MembershipView;

/// Who takes part and what each availability zone knows. Deterministic: events and a time in, commands out, no I/O.
///
/// Members of an availability zone send heartbeats to their next members by id. The lowest live id of a zone is its delegate:
/// it exchanges digests with the delegates of the other zones, and its knowledge is passed on inside the zone.
class Membership
{
public:
    explicit Membership(MembershipOptions options);
    ~Membership();
    Membership(Membership &&) noexcept;
    auto operator=(Membership &&) noexcept -> Membership &;

    /// Handles one event. Times must not go back.
    [[nodiscard]] auto handle(const MembershipEvent &event, SteadyTime now) -> std::vector<MembershipCommand>;

    /// Answers questions about the present state; valid as long as this object.
    [[nodiscard]] auto view() const -> const MembershipView &;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};
} // namespace Marjoramfold
