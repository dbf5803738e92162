#pragma once

#include "StandIns/AttemptRequest.h"
#include "StandIns/AttemptState.h"
#include "StandIns/PrefixHash.h"

#include <cstdint>
#include <string>

namespace almondscale::standin {

// An attempt inside a stand-in engine.
struct EngineAttempt {
    AttemptRequest request;
    PrefixHash hash;
    AttemptState state = AttemptState::Queued;
    // The order of arrival at the engine.
    std::uint64_t arrival = 0;
    // The prompt tokens that are still to be worked through.
    std::int64_t prefillLeft = 0;
    bool prefilled = false;
    bool imported = false;
    // The index after the last token made.
    std::int64_t made = 0;
    // The blocks held in the prefix cache and those held for this attempt alone.
    std::int64_t pinnedBlocks = 0;
    std::int64_t reservedBlocks = 0;
    std::string kvHandle;

    bool wantsPrefill() const { return state == AttemptState::Running && !prefilled; }
    bool wantsDecode() const { return state == AttemptState::Running && prefilled; }
    std::int64_t decodeLeft() const
    {
        return request.phase == AttemptPhase::Prefill ? 0 : request.maxTokens.count() - made;
    }
};

} // namespace almondscale::standin
