#pragma once

namespace almondscale::standin {

// What became of an order.
enum class OrderOutcome {
    Accepted,
    StaleFencing,
    Busy,
    Invalid,
    Down,
};

const char* orderOutcomeWord(OrderOutcome);

} // namespace almondscale::standin
