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

// Who this host is, and the pace of the membership protocol.
struct MembershipSettings {
    HostId host;
    // Where peers reach this host.
    Address address;
    DataCentre dataCentre;
    // Higher than that of any former process of this host or on this address; microseconds of wall time
    // serve.
    Incarnation incarnation;

    // Between two probes of hosts of the own data centre.
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

    // Hosts per pair of data centres that keep a link, and the pace of their probes.
    std::size_t linksPerDataCentre = 3;
    Nanoseconds linkProbeInterval = std::chrono::seconds(1);
    // A data centre counts as unreachable when nobody here had an answer from it for so long.
    Nanoseconds contactTimeout = std::chrono::seconds(6);

    // Between two tries of a listed host that is not a member.
    Nanoseconds rejoinInterval = std::chrono::seconds(1);
    // Between two comparisons of all that is known.
    Nanoseconds digestInterval = std::chrono::seconds(4);
    // The same when only items that stay in a data centre differ.
    Nanoseconds localDigestInterval = std::chrono::seconds(10);

    // A host publishes its local items at most once per localItemInterval, and at most once per
    // localItemIntervalPerHost times the number of live hosts in its data centre.
    Nanoseconds localItemInterval = std::chrono::seconds(2);
    Nanoseconds localItemIntervalPerHost = std::chrono::milliseconds(400);
    // Transmissions of a local item per host; digests deliver it to hosts that gossip missed.
    std::size_t localItemTransmits = 2;

    // Urgent gossip is pushed immediately to this many hosts, at most once per pushInterval.
    std::size_t pushFanout = 3;
    Nanoseconds pushInterval = std::chrono::milliseconds(100);
    // Transmissions of a gossip entry per host, as a multiple of log2 of the number of hosts.
    std::size_t transmitsPerDoubling = 2;
    // Maximum size of the gossip in one frame, in bytes.
    std::size_t gossipBytesPerFrame = 900;
    // What news, comparisons and answers to them may take together.
    std::size_t bytesPerSecond = 4000;
    std::size_t burstBytes = 65536;

    // A longer gap between two ticks means that this process was paused.
    Nanoseconds pauseThreshold = std::chrono::seconds(1);
    std::size_t maxMembers = 1024;
    std::size_t maxItemsPerHost = 160;
    std::size_t maxItemBytesPerHost = 16384;
};

} // namespace almondscale
