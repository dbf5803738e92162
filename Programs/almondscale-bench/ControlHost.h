#pragma once

#include "Core/MonotonicTime.h"
#include "Membership/Membership.h"
#include "Rules/RulesReplica.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace almondscale {

// One process of a host under the fake clock: its real membership code and what was counted around it.
struct ControlHost {
    HostId host;
    Address address;
    DataCentre dataCentre;
    Incarnation incarnation;
    std::unique_ptr<Membership> membership;
    bool paused = false;
    MonotonicTime startedAt {};
    MonotonicTime nextTick {};
    std::uint64_t bytesIn = 0;
    std::uint64_t bytesOut = 0;
    // The part of what came in that was the text of the rules.
    std::uint64_t rulesBytes = 0;
    std::unique_ptr<RulesReplica> keeper;
    RulesVersion rules;
    // Whether a lower version ever came into force after a higher one.
    bool rulesReverted = false;
    // The last state of each peer that was reported.
    std::map<HostId, Member> reported;
    // The last value of each peer's items that was reported, by host and key.
    std::map<std::string, std::string> items;
};

} // namespace almondscale
