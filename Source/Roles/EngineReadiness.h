#pragma once

namespace almondscale {

// Whether the role policy may count an engine as capacity and order it to change role.
enum class EngineReadiness {
    Ready,
    // A role change is in progress.
    Changing,
    // The engine is draining before its removal and gets no further orders.
    Withdrawing,
    // The engine crashed or does not respond.
    Down,
};

} // namespace almondscale
