#pragma once

#include "Core/HostId.h"
#include "Core/Organisation.h"

#include <cstdint>

namespace almondscale {

// A message between hosts about an organisation near its rate limit.
struct LimitMessage {
    enum class Kind {
        // To the coordinator: the demand at the sender and the share in use.
        Report,
        // From the coordinator: the share to use.
        Grant,
        // From the coordinator: requests a report of the share in use.
        Query,
        // From the coordinator: the organisation is far below its limit. Refill the token bucket
        // and keep the equal share.
        Loan,
        // From the coordinator: the organisation is far below its limit again. All shares are equal
        // and the state of the exchange can be discarded.
        Release,
    };
    Kind kind = Kind::Report;
    HostId from;
    HostId to;
    Organisation organisation;
    // In requests per second.
    double demand = 0;
    double share = 0;
    // The number of the grant sent, or of the grant that set the reported share.
    std::uint64_t sequence = 0;
};

} // namespace almondscale
