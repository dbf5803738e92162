#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Core/RulesVersion.h"
#include "Membership/MemberState.h"

namespace almondscale {

// One host as this host knows it.
struct Member {
    HostId host;
    Address address;
    DataCentre dataCentre;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
    // The highest rules version that the host is known to have in force.
    RulesVersion rules;

    // A suspect counts as live until its suspicion ends.
    bool live() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

} // namespace almondscale
