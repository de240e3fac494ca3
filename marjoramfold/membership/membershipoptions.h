#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/membership/peermessages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Identity, contacts and intervals of a member.
struct MembershipOptions {
    InstanceId self_;
    Incarnation incarnation_ = 0;
    AvailabilityZoneId zone_;
    /// HOST:PORT under which other instances reach this one, by UDP and TCP.
    std::string address_;
    /// HOST:PORT of instances to ask first.
    std::vector<std::string> seeds_;

    std::chrono::milliseconds heartbeatInterval_{500};
    std::chrono::milliseconds suspectAfter_{1'500};
    /// Time between two rounds of probes of a suspected peer.
    std::chrono::milliseconds probeInterval_{500};
    std::chrono::milliseconds deadAfter_{2'500};
    std::chrono::milliseconds digestInterval_{1'000};
    /// Interval of reports to the delegate while nothing changes.
    std::chrono::milliseconds reportInterval_{2'000};
    std::chrono::milliseconds antiEntropyInterval_{4'000};
    /// Interval of attempts to reach instances that are dead or not known yet, so that partitions heal.
    std::chrono::milliseconds contactInterval_{2'000};
    /// A longer gap between two calls means that this process was paused.
    std::chrono::milliseconds pauseThreshold_{1'000};
    /// Age at which a reported state no longer counts.
    std::chrono::milliseconds stateTimeout_{6'000};
    /// Age at which the digest of an availability zone no longer counts as an answer of it.
    std::chrono::milliseconds answerTimeout_{3'000};
    /// Time without a digest after which the members of another zone no longer count as live peers. They are not taken as dead,
    /// since only members of their own zone can tell a dead zone from a cut-off one.
    std::chrono::milliseconds zoneSilence_{60'000};
    /// How long ended members are remembered. They are passed on for half of this time, so that none circulates for ever.
    std::chrono::seconds endedRetention_{600};

    /// Members of the same availability zone that each instance sends heartbeats to: the next ones by id, in a circle.
    /// A bounded number keeps the traffic of an instance independent of the size of its zone. When both monitors fail together
    /// with the sender, its death is noticed one detection time later, by the next ones. A third monitor would bring the
    /// delegate of ten zones over 3 KB/s.
    std::size_t monitors_ = 2;
    /// Third instances that are asked to probe a suspected one.
    std::size_t helpers_ = 2;
    /// Entries in one anti-entropy update.
    std::size_t antiEntropyEntries_ = 4;
    /// Treats all instances as one availability zone in which everyone monitors everyone; only for comparison.
    bool fullMesh_ = false;
    /// Seed of the choice of helpers and of peers for anti-entropy.
    std::uint32_t randomSeed_ = 1;
};
} // namespace Marjoramfold
