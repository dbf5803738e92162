#pragma once

namespace almondscale {

// What is known about whether a host takes part.
enum class MemberState {
    Alive,
    // Probes failed; the host may still prove that it is alive.
    Suspect,
    Dead,
    // The host said that it leaves.
    Left,
    // The host's whole data centre cannot be reached from here.
    Unreachable,
};

const char* memberStateName(MemberState);

} // namespace almondscale
