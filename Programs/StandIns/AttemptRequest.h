#pragma once

#include "Core/AttemptId.h"
#include "Core/ModelName.h"
#include "Core/Priority.h"
#include "Core/TokenCount.h"
#include "StandIns/AttemptPhase.h"

#include <string>

namespace almondscale::standin {

// The order to run one attempt.
struct AttemptRequest {
    AttemptId attempt;
    ModelName model;
    std::string prompt;
    TokenCount maxTokens;
    Priority priority;
    // The first token to make; the caller has those before it.
    TokenCount offset;
    AttemptPhase phase = AttemptPhase::Full;
    // The KV cache to import before a decode phase, as HANDLE@IP:PORT.
    std::string kv;
};

} // namespace almondscale::standin
