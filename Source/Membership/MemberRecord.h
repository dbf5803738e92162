#pragma once

#include "Membership/Member.h"

#include <cstdint>
#include <tuple>

namespace almondscale {

// What hosts tell each other about one host; the newer record replaces the older.
struct MemberRecord {
    HostId host;
    Address address;
    DataCentre dataCentre;
    Incarnation incarnation;
    // Rises when the host proves that it is alive.
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    // The host that suspects this one.
    HostId accuser;
    // Items of the host up to this version are gone.
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
