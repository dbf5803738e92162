#pragma once

#include "Membership/Member.h"

#include <cstdint>
#include <tuple>

namespace almondscale {

// The membership record of one host as exchanged between hosts. A newer record replaces an older one; the
// order is by incarnation, refutation and state.
struct MemberRecord {
    HostId host;
    Address address;
    DataCentre dataCentre;
    Incarnation incarnation;
    // Incremented by the host itself to refute a suspicion or a report of its death.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    // For suspects: the host that raised the suspicion.
    HostId accuser;
    // Items of the host with this version or a lower one have been discarded.
    std::uint64_t itemFloor = 0;
    RulesVersion rules;

    bool newerThan(const MemberRecord& other) const { return precedence() > other.precedence(); }
    bool live() const { return state == MemberState::Alive || state == MemberState::Suspect; }

private:
    std::tuple<std::uint64_t, std::uint32_t, int> precedence() const
    {
        return { incarnation.count(), refutation, static_cast<int>(state) };
    }
};

} // namespace almondscale
