#pragma once

#include "Core/Deadline.h"
#include "Core/EngineId.h"
#include "Core/ModelName.h"
#include "Core/Priority.h"
#include "Core/TokenCount.h"
#include "Routing/PrefixHash.h"

#include <set>

namespace almondscale {

// A request to be routed.
struct RouteRequest {
    ModelName model;
    TokenCount promptTokens;
    // The estimated length of the answer.
    TokenCount outputTokens;
    PrefixHash prefix;
    // The tokens that need no prefill on an engine that has cached the prefix.
    TokenCount prefixTokens;
    // The fraction of recent requests that have this prefix. Set by the router.
    double prefixShare = 0;
    Deadline deadline = Deadline::never();
    Priority priority;
    // Engines not to be used, such as those on which an attempt at this request failed.
    std::set<EngineId> excluded;
};

} // namespace almondscale
