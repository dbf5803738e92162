#pragma once

namespace almondscale {

// The outcome of an attempt at a backend server, as far as it tells something about the server.
enum class BackendOutcome {
    // The complete response arrived.
    Answered,
    // The server refused to execute the request.
    Refused,
    // The server responded with a failure.
    Failed,
    // A connection was established; no request has been sent yet.
    Connected,
    // No connection could be established, or the peer acknowledges no data.
    Unreachable,
    // The connection was lost or timed out.
    ConnectionLost,
    // The caller disconnected or its deadline passed; nothing is known about the server.
    Abandoned,
};

} // namespace almondscale
