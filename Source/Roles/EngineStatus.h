#pragma once

#include "Core/EngineId.h"
#include "Core/EngineRole.h"
#include "Core/MonotonicTime.h"

namespace almondscale {

// Whether an engine can take work.
enum class EngineState {
    Ready,
    // An order to it is under way.
    Changing,
    // It is being drained for withdrawal and gets no further order.
    Withdrawing,
    // It crashed or does not answer.
    Down,
};

// What is known about one engine of the pool.
struct EngineStatus {
    EngineId engine;
    // The role that it has, or will have once its change is done.
    EngineRole role = EngineRole::Mixed;
    EngineState state = EngineState::Ready;
    // When the engine last reported.
    MonotonicTime reportedAt {};
};

} // namespace almondscale
