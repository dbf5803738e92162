#pragma once

namespace almondscale {

// How an attempt at a backend server ended, as far as it says something of the server.
enum class BackendOutcome {
    // The whole answer came.
    Answered,
    // The server refused to run the request.
    Refused,
    // The server answered that it failed.
    Failed,
    // A connection was made; nothing was sent yet.
    Reached,
    // No connection could be made, or its other end acknowledges nothing.
    Unreachable,
    // The connection broke off or stayed silent.
    Broken,
    // The caller left or its time was over; nothing is known of the server.
    Abandoned,
};

} // namespace almondscale
