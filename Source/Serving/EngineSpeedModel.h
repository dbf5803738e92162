#pragma once

#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// Times of an engine of ordinary speed, from the engines' published figures.
struct EngineSpeedModel {
    // Prompt tokens that are prefilled in a millisecond.
    double prefillTokensPerMs = 48.2;
    // Milliseconds for each million pairs of a new token and a token before it.
    double attentionMsPerMillionPairs = 0.248;
    // What each request adds, in milliseconds.
    double requestMs = 16;

    // Milliseconds for a prompt of which the first tokens are cached.
    double prefillMs(TokenCount prompt, TokenCount cached) const
    {
        const auto fresh = static_cast<double>((prompt - cached).count());
        const double pairs = fresh * (static_cast<double>(cached.count()) + fresh / 2) / 1e6;
        return requestMs + fresh / prefillTokensPerMs + pairs * attentionMsPerMillionPairs;
    }
};

} // namespace almondscale
