#pragma once

#include "marjoramfold/membership/failuredetector.h"
#include "marjoramfold/membership/membershipmessages.h"
#include "marjoramfold/membership/membershipview.h"
#include "marjoramfold/membership/membertable.h"
#include "marjoramfold/membership/zonetable.h"

#include <string>
#include <utility>
#include <vector>

namespace Marjoramfold
{
/// State shared by the components of Membership, and the commands that the current event produced so far.
struct MembershipState {
    explicit MembershipState(MembershipOptions options)
        : options_(std::move(options))
        , table_(options_)
        , detector_(options_)
        , view_(options_, self_, table_, zoneTable_, detector_)
    {
        self_.entry_ = {options_.self_, options_.zone_, options_.address_, options_.incarnation_, 0, MemberStatus::Alive, std::chrono::seconds(0)};
    }

    MembershipState(const MembershipState &) = delete;
    auto operator=(const MembershipState &) -> MembershipState & = delete;

    /// Sends to a known member; has no effect for an unknown one.
    auto send(const InstanceId &recipient, PeerMessage message) -> void
    {
        if (const auto *member = table_.find(recipient)) {
            sendTo(recipient, member->entry_.address_, std::move(message));
        }
    }

    /// Sends to an address; an empty recipient means an unknown one.
    auto sendTo(const InstanceId &recipient, const std::string &address, PeerMessage message) -> void
    {
        commands_.emplace_back(SendDatagram{recipient, address, std::move(message)});
    }

    MembershipOptions options_;
    LocalMember self_;
    MemberTable table_;
    ZoneTable zoneTable_;
    FailureDetector detector_;
    MembershipView view_;
    std::vector<MembershipCommand> commands_;
};
} // namespace Marjoramfold
