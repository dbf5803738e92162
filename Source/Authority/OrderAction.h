#pragma once

#include "Authority/EngineOrder.h"
#include "Core/Deadline.h"
#include "Platform/TableCall.h"

namespace almondscale {

// The next thing to do for an order.
struct OrderAction {
    enum class Kind {
        // Make the call of the table; answer with onTable.
        CallTable,
        // Announce on the heartbeat that the engine closes until `closingEnds`; nothing to answer.
        AnnounceClosing,
        // Ask whether every live host knows of the closing; answer with onAcknowledged.
        CheckAcknowledged,
        // Read the engine's state; answer with onState.
        ReadState,
        // Open the order's request, send all but its last byte, and wait until the
        // engine's side has taken every byte so far; answer with onHeadSent.
        SendHead,
        // Send the last byte and wait for the answer; answer with onOrderAnswer.
        SendLastByte,
        // Drop the opened request; nothing to answer.
        Abandon,
        // Withdraw the announcement; nothing to answer.
        Reopen,
        // Nothing is due; ask again soon.
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
