#pragma once

#include "EngineDirectory.h"
#include "Membership/MembershipService.h"
#include "Peers.h"
#include "PeriodicDuty.h"
#include "Platform/PlatformClient.h"
#include "Settings/HostSettings.h"

#include <mutex>
#include <vector>

namespace almondscale {

// Reads the platform's lagging list: seeds the membership and stops new work to leaving engines.
//
// Few hosts of a data centre read the list often; they share what is leaving with the others, so that
// the platform's reads do not grow with the hosts.
class HostListDuty {
public:
    HostListDuty(
        const PlatformClient&, MembershipService&, EngineDirectory&, const HostSettings&, const Peers&);

    void start() { m_duty.start(); }
    void stop() { m_duty.stop(); }
    // The hosts on the list that are not leaving, as last read.
    std::vector<HostId> listedHosts() const;

private:
    void step();
    void readList();
    void applyLeaving();
    bool readsOften() const;

    const PlatformClient& m_platform;
    MembershipService& m_membership;
    EngineDirectory& m_engines;
    const HostSettings& m_settings;
    const Peers& m_peers;
    std::set<EngineId> m_listedLeaving;
    mutable std::mutex m_mutex;
    std::vector<HostId> m_listedHosts;
    std::string m_published;
    int m_step = 0;
    PeriodicDuty m_duty;
};

} // namespace almondscale
