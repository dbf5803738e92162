#pragma once

namespace almondscale {

// The evidence that a server terminated, weakest first.
enum class EndEvidence {
    // New connections fail, and a new one was lost. An overloaded server behaves the same way.
    Unsure,
    // Established connections were lost too.
    Certain,
    // The registration disappeared as well.
    Gone,
};

} // namespace almondscale
