#pragma once

namespace almondscale {

// How one attempt at a backend server ended.
enum class AttemptOutcome {
    // The caller has its final answer, or its stream was broken off.
    Delivered,
    // The server did not run the request and will not.
    NotRun,
    // The server may have run the request.
    MayHaveRun,
    // The server answered that it failed; the answer is kept.
    Failed,
};

} // namespace almondscale
