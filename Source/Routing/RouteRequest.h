#pragma once

#include "Core/Deadline.h"
#include "Core/EngineId.h"
#include "Core/ModelName.h"
#include "Core/Priority.h"
#include "Core/TokenCount.h"
#include "Routing/PrefixHash.h"

#include <set>

namespace almondscale {

// A request for which engines are to be chosen.
struct RouteRequest {
    ModelName model;
    TokenCount promptTokens;
    // The estimate of the answer's length.
    TokenCount outputTokens;
    PrefixHash prefix;
    // The tokens that need no prefill on an engine that holds the prefix.
    TokenCount prefixTokens;
    // The part of the recent requests that have this prefix; the router sets it.
    double prefixShare = 0;
    Deadline deadline = Deadline::never();
    Priority priority;
    // Engines that must not be chosen, such as those that failed this request.
    std::set<EngineId> excluded;
};

} // namespace almondscale
