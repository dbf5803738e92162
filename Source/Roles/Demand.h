#pragma once

namespace almondscale {

// What callers ask of a pool: a rate, and the mean size of a request.
struct Demand {
    double requestsPerSecond = 0;
    // Prompt tokens that no prefix cache holds.
    double prefillTokens = 0;
    double decodeTokens = 0;
    // Prompt and answer together, which take KV cache.
    double contextTokens = 0;
};

} // namespace almondscale
