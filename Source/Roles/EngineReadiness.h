#pragma once

namespace almondscale {

// Whether the role policy may count on an engine and order it to change.
enum class EngineReadiness {
    Ready,
    // An order to it is under way.
    Changing,
    // It is being drained for withdrawal and gets no further order.
    Withdrawing,
    // It crashed or does not answer.
    Down,
};

} // namespace almondscale
