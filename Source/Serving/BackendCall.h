#pragma once

#include "Core/MonotonicTime.h"
#include "Core/Priority.h"
#include "Serving/BackendId.h"
#include "Serving/KvSource.h"

#include <optional>
#include <string>

namespace almondscale {

// How a caller's request is sent to one backend server.
struct BackendCall {
    BackendId backend;
    // What is left for the answer.
    Nanoseconds remaining {};
    // The prompt is only prefilled, and its KV cache kept for a decode engine.
    bool prefillOnly = false;
    std::optional<KvSource> source;
    // As engines count it: 0 is the most urgent.
    std::optional<Priority> priority;
    // The last event that has arrived, where a stream goes on; empty for a new one.
    std::string lastEventId;
};

} // namespace almondscale
