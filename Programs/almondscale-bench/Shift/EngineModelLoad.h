#pragma once

namespace almondscale {

// What a modelled engine reports of its load.
struct EngineModelLoad {
    // Prompt tokens that are still to be worked through.
    int prefillTokens = 0;
    // Answer tokens that are still to be given.
    int decodeTokens = 0;
    // Requests in work, and requests that wait for a place.
    int running = 0;
    int waiting = 0;
    int freeBlocks = 0;
};

} // namespace almondscale
