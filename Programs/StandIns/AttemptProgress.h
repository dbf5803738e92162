#pragma once

#include "Core/TokenCount.h"
#include "StandIns/AttemptPhase.h"
#include "StandIns/AttemptState.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondscale::standin {

// What an attempt has made, from one token on.
struct AttemptProgress {
    AttemptState state = AttemptState::Queued;
    AttemptPhase phase = AttemptPhase::Full;
    // The index of the first token in the list.
    std::int64_t firstIndex = 0;
    std::vector<std::string> tokens;
    // The index after the last token made so far.
    TokenCount made;
    // The KV cache that a finished prefill left for export.
    std::string kvHandle;
    std::int64_t kvBytes = 0;
};

} // namespace almondscale::standin
