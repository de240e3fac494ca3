#pragma once

#include "marjoramfold/core/ids.h"
#include "marjoramfold/membership/peermessages.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold
{
/// Identity, seeds and intervals of a member.
struct MembershipOptions {
    InstanceId self_;
    Incarnation incarnation_ = 0;
    AvailabilityZoneId zone_;
    /// HOST:PORT under which other instances reach this one, by UDP and TCP.
    std::string address_;
    /// HOST:PORT of the instances to contact first.
    std::vector<std::string> seeds_;

    std::chrono::milliseconds heartbeatInterval_{500};
    std::chrono::milliseconds suspectAfter_{1'500};
    /// Interval of probes of a suspected peer.
    std::chrono::milliseconds probeInterval_{500};
    std::chrono::milliseconds deadAfter_{2'500};
    std::chrono::milliseconds digestInterval_{1'000};
    /// Interval of reports to the delegate without a change.
    std::chrono::milliseconds reportInterval_{2'000};
    std::chrono::milliseconds antiEntropyInterval_{4'000};
    /// Interval of attempts to contact dead and not yet known instances, so that partitions heal.
    std::chrono::milliseconds contactInterval_{2'000};
    /// A longer gap between two events counts as a pause of this process.
    std::chrono::milliseconds pauseThreshold_{1'000};
    /// Age after which a reported state is ignored.
    std::chrono::milliseconds stateTimeout_{6'000};
    /// Age after which the digest of an availability zone no longer shows that the zone responds.
    std::chrono::milliseconds answerTimeout_{3'000};
    /// Time without a digest after which the members of another zone no longer count as live peers. They are not marked dead,
    /// since only members of their own zone can distinguish a failed zone from a partitioned one.
    std::chrono::milliseconds zoneUnreachableAfter_{60'000};
    /// How long ended members are kept. They are forwarded for half of this time only, so that their entries expire everywhere.
    std::chrono::seconds endedRetention_{600};

    /// Members of the same availability zone that each instance sends heartbeats to: the next ones by id, as a ring.
    /// A bounded number keeps the traffic of an instance independent of the size of its zone. When both monitors fail together
    /// with the sender, the next ones detect its death one detection time later. A third monitor would raise the traffic of a
    /// delegate among ten zones above 3 KB/s.
    std::size_t monitors_ = 2;
    /// Other instances that are asked to probe a suspected one.
    std::size_t indirectProbes_ = 2;
    /// Most member entries in one anti-entropy update.
    std::size_t antiEntropyEntries_ = 4;
    /// Treats all instances as one availability zone in which each monitors every other; only for comparison.
    bool fullMesh_ = false;
    /// Seed for the choice of probe relays and of anti-entropy peers.
    std::uint32_t randomSeed_ = 1;
};
} // namespace Marjoramfold
