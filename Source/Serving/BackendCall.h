#pragma once

#include "Core/MonotonicTime.h"
#include "Core/Priority.h"
#include "Serving/KvSource.h"
#include "Serving/SendPermit.h"

#include <optional>
#include <string>
#include <utility>

namespace almondscale {

// How a caller's request is sent to one backend server.
struct BackendCall {
    explicit BackendCall(SendPermit sendPermit)
        : permit(std::move(sendPermit))
    {
    }

    const BackendId& backend() const { return permit.server().backend; }

    SendPermit permit;
    // Time left until the request's deadline.
    Nanoseconds remaining {};
    // The server only prefills the prompt and keeps the KV cache for a decode engine.
    bool prefillOnly = false;
    std::optional<KvSource> source;
    // As engines define it: 0 is the most urgent.
    std::optional<Priority> priority;
    // The id of the last event received, where a stream is resumed; empty for a new stream.
    std::string lastEventId;
};

} // namespace almondscale
