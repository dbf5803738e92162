#pragma once

#include "Core/Address.h"
#include "Core/DataCentre.h"
#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Core/RulesVersion.h"
#include "Membership/MemberState.h"

namespace almondscale {

// A host of the cluster as seen by this host.
struct Member {
    HostId host;
    Address address;
    DataCentre dataCentre;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
    // The highest rules version known to be in force on the host.
    RulesVersion rules;

    // A suspect counts as live until it is declared dead.
    bool live() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

} // namespace almondscale
