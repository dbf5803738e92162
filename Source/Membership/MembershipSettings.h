#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Core/MonotonicTime.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace almondscale {

// The identity of this host, and the intervals and limits of the membership protocol.
struct MembershipSettings {
    HostId host;
    // The address at which peers reach this host.
    Address address;
    DataCentre dataCentre;
    // Must be higher than that of any earlier process of this host or at this address; the wall-clock time in
    // microseconds is suitable.
    Incarnation incarnation;

    // Interval between probes of hosts of this data centre.
    Nanoseconds probeInterval = std::chrono::milliseconds(500);
    // Delays after the first ping at which an unanswered ping is sent again.
    std::vector<Nanoseconds> pingRetryDelays
        = { std::chrono::milliseconds(50), std::chrono::milliseconds(150), std::chrono::milliseconds(350) };
    // Delay after the first ping at which other hosts are asked to ping the host.
    Nanoseconds indirectProbeDelay = std::chrono::milliseconds(250);
    int indirectProbeCount = 3;
    // Time from the first ping until the host is suspected.
    Nanoseconds probeTimeout = std::chrono::milliseconds(900);
    // How long a suspect has to refute the suspicion before it is declared dead. The shorter time applies
    // once `accusersToConfirm` hosts suspect it.
    Nanoseconds suspicionTimeout = std::chrono::milliseconds(2000);
    Nanoseconds confirmedSuspicionTimeout = std::chrono::milliseconds(1200);
    std::size_t accusersToConfirm = 3;
    // How long the records of dead hosts and of hosts that left are kept.
    Nanoseconds deadMemberRetention = std::chrono::seconds(120);

    // Number of hosts that maintain the link from one data centre to another, and the interval of their
    // probes.
    std::size_t linksPerDataCentre = 3;
    Nanoseconds linkProbeInterval = std::chrono::seconds(1);
    // A data centre is unreachable if no host of this data centre has received an ack from it for this long.
    Nanoseconds contactTimeout = std::chrono::seconds(6);

    // Interval between attempts to contact a seed host or a dead host.
    Nanoseconds rejoinInterval = std::chrono::seconds(1);
    // Minimum interval between digests that this host sends.
    Nanoseconds digestInterval = std::chrono::seconds(4);
    // Minimum interval between digests if only items of scope DataCentre differ.
    Nanoseconds localDigestInterval = std::chrono::seconds(10);

    // A host publishes its local items at most once per localItemInterval, and at most once per
    // localItemIntervalPerHost times the number of live hosts in its data centre.
    Nanoseconds localItemInterval = std::chrono::seconds(2);
    Nanoseconds localItemIntervalPerHost = std::chrono::milliseconds(400);
    // Each host transmits an item of scope DataCentre this many times; digests deliver it to hosts that
    // gossip missed.
    std::size_t localItemTransmits = 2;

    // Urgent gossip is pushed immediately to this many hosts, at most once per pushInterval.
    std::size_t pushFanout = 3;
    Nanoseconds pushInterval = std::chrono::milliseconds(100);
    // Each host transmits a gossip entry this many times 1 + floor(log2(number of hosts)).
    std::size_t transmitsPerDoubling = 2;
    // No further entry is added to a frame that carries this many bytes of gossip.
    std::size_t gossipBytesPerFrame = 900;
    // Budget for gossip, digests and the states sent in response. Unused budget accumulates up to burstBytes.
    std::size_t bytesPerSecond = 4000;
    std::size_t burstBytes = 65536;

    // A longer interval between two ticks means that this process was paused.
    Nanoseconds pauseThreshold = std::chrono::seconds(1);
    std::size_t maxMembers = 1024;
    std::size_t maxItemsPerHost = 160;
    std::size_t maxItemBytesPerHost = 16384;
};

} // namespace almondscale
