#pragma once

#include "Authority/EngineOrder.h"
#include "Core/Deadline.h"
#include "Platform/TableCall.h"

namespace almondscale {

// The next step of an order, which the caller of OrderSequence must perform.
struct OrderAction {
    enum class Kind {
        // Perform the table call; report with onTable.
        CallTable,
        // Announce by heartbeat that the engine is closed to new work until `closingEnds`; no report.
        AnnounceClosing,
        // Check whether every live host has acknowledged the closing; report with onAcknowledged.
        CheckAcknowledged,
        // Read the engine's state; report with onState.
        ReadState,
        // Open the order's request, send all but its last byte, and wait until the
        // engine's side has acknowledged every byte sent so far; report with onHeadSent.
        SendHead,
        // Send the last byte and wait for the answer; report with onOrderAnswer.
        SendLastByte,
        // Close the opened request without completing it; no report.
        Abandon,
        // Withdraw the closing announcement; no report.
        Reopen,
        // Nothing is due; poll again later.
        Wait,
        // The order has ended; see OrderSequence::result.
        Done,
    };

    Kind kind = Kind::Wait;
    TableCall call;
    EngineOrder order;
    Deadline closingEnds;
};

} // namespace almondscale
