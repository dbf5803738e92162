#pragma once

namespace almondscale {

// An engine's answer to an order.
enum class OrderAnswer {
    CarriedOut,
    StaleFencing,
    Busy,
    // No answer was received; the order may have been executed or still be in flight.
    NoAnswer,
};

// How an order ended.
enum class OrderResult {
    // The order has not ended yet.
    None,
    // The engine's state confirmed the order.
    CarriedOut,
    // This host may no longer issue orders, or a later lease holder has taken over the engine.
    LostAuthority,
    // The closing deadline expired first; the engine keeps serving in the role that it reports.
    Expired,
    // The intent could not be written to the platform's table; nothing was sent.
    NotRecorded,
};

const char* orderResultName(OrderResult);

} // namespace almondscale
