#pragma once

namespace almondscale {

// What the engine answered to an order.
enum class OrderAnswer {
    CarriedOut,
    StaleFencing,
    Busy,
    // No answer came; the order may be carried out or be under way.
    Lost,
};

// How an order ended.
enum class OrderResult {
    // Under way.
    None,
    // Read back from the engine.
    CarriedOut,
    // This host may not give orders, or another holder took the engine over.
    LostAuthority,
    // The closing expired first; the engine serves on in the role that it reports.
    Expired,
    // The platform's table did not take the intent; nothing was sent.
    NotRecorded,
};

const char* orderResultName(OrderResult);

} // namespace almondscale
