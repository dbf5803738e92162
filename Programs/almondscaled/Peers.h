#pragma once

#include "Admission/LimitPeer.h"
#include "Core/Address.h"
#include "Core/HostId.h"
#include "Membership/MembershipService.h"
#include "Rules/RulesReplica.h"
#include "Settings/HostSettings.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// The other hosts, as the membership knows them, and calls to their operators' ports.
class Peers {
public:
    Peers(const MembershipService&, const HostSettings&);

    // The shared item by which a host tells where its operators' port is.
    static constexpr const char* addressItem = "operators";

    std::vector<HostId> live() const;
    // The host of this data centre that all its hosts name without asking each other.
    HostId firstOfDataCentre() const;
    DataCentreRank placeInDataCentre() const;
    // A host that is cut off keeps its share for as long as the platform lists it.
    std::vector<LimitPeer> sharingLimits(const std::vector<HostId>& listed) const;

    // The body of a peer's answer; nothing if it could not be had.
    std::optional<std::string> call(
        const HostId&, const char* method, const char* path, const std::string& body) const;

private:
    std::optional<Address> operatorsAddress(const HostId&) const;

    const MembershipService& m_membership;
    const HostSettings& m_settings;
};

} // namespace almondscale
