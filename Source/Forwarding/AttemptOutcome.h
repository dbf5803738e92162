#pragma once

namespace almondscale {

// Result of one attempt to run the request on a backend server.
enum class AttemptOutcome {
    // The final response was sent, or the caller disconnected during the stream.
    Delivered,
    // The server did not run the request and will not run it.
    NotRun,
    // The server may have run the request.
    MayHaveRun,
    // The server answered with status 5xx; the response is kept in case no retry succeeds.
    Failed,
};

} // namespace almondscale
