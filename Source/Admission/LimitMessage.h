#pragma once

#include "Core/HostId.h"
#include "Core/Organisation.h"

#include <cstdint>

namespace almondscale {

// What hosts tell each other about an organisation near its limit.
struct LimitMessage {
    enum class Kind {
        // To the coordinator: the demand at the sender and the share it uses.
        Report,
        // From the coordinator: the share to use from now on.
        Grant,
        // From the coordinator: tell the share in use.
        Query,
        // From the coordinator: the organisation is far below its limit; let a few more
        // requests through and leave the shares equal.
        Loan,
        // From the coordinator: the organisation is far below its limit again; all
        // shares are equal and nothing need be remembered.
        Release,
    };
    Kind kind = Kind::Report;
    HostId from;
    HostId to;
    Organisation organisation;
    // In requests per second.
    double demand = 0;
    double share = 0;
    // Of the grant that is sent, or that the reported share comes from.
    std::uint64_t sequence = 0;
};

} // namespace almondscale
