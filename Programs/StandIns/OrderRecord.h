#pragma once

#include "StandIns/EngineOrder.h"
#include "StandIns/OrderOutcome.h"

#include <cstdint>

namespace almondscale::standin {

// An order that reached an engine, kept over crashes for tests.
struct OrderRecord {
    EngineOrder order;
    OrderOutcome outcome = OrderOutcome::Accepted;
    std::uint64_t boot = 0;
};

} // namespace almondscale::standin
