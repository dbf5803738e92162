#pragma once

namespace almondscale {

// The workload offered to a pool: the request rate and the mean size of a request, in tokens.
struct Demand {
    double requestsPerSecond = 0;
    // Prompt tokens that miss the prefix cache.
    double prefillTokens = 0;
    double decodeTokens = 0;
    // Prompt and output tokens, all of which occupy KV cache.
    double contextTokens = 0;
};

} // namespace almondscale
