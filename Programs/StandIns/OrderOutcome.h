#pragma once

namespace almondscale {

// What became of an order.
enum class OrderOutcome {
    Accepted,
    StaleFencing,
    Busy,
    Invalid,
    Down,
};

const char* orderOutcomeWord(OrderOutcome);

} // namespace almondscale
