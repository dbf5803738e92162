#pragma once

#include "Authority/EngineState.h"
#include "Core/Address.h"
#include "Core/Deadline.h"

#include <optional>

namespace almondscale {

// The answer of an engine that was asked for its state, or why there is none.
struct EngineStateReply {
    std::optional<EngineState> state;
    // No connection could be made, so no process listens there.
    bool refused = false;
};

EngineStateReply askEngineState(const Address&, Deadline);

} // namespace almondscale
