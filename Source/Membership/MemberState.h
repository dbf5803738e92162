#pragma once

namespace almondscale {

// The liveness of a host as known here. At the same incarnation and refutation the later of these
// states overrides the earlier, so their order is part of the protocol.
enum class MemberState {
    Alive,
    // Probes failed; the host can still refute the suspicion.
    Suspect,
    Dead,
    // The host announced that it leaves.
    Left,
    // The host's data centre is unreachable from here. Derived locally, never sent.
    Unreachable,
};

const char* memberStateName(MemberState);

} // namespace almondscale
