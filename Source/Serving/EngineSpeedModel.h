#pragma once

#include "Core/TokenCount.h"

namespace almondscale {

// Times of an engine of ordinary speed. The figures here are a guess for engines of which
// no prefill has been measured; EngineSpeeds replaces them.
struct EngineSpeedModel {
    // What each request adds, in milliseconds; other prefills go on beside it.
    double requestMs = 16;
    double msPerToken = 1 / 48.2;
    // Milliseconds for each million pairs of a new token and a token before it.
    double msPerMillionPairs = 0.248;
    // Part of the open work in front of a prefill for which it waits.
    double waitFactor = 1;

    // Pairs of a new token and a token before it, in millions.
    static double millionPairs(TokenCount prompt, TokenCount cached)
    {
        const auto fresh = static_cast<double>((prompt - cached).count());
        return fresh * (static_cast<double>(cached.count()) + fresh / 2) / 1e6;
    }

    // Milliseconds for which a prompt, of which the first tokens are cached, holds an engine.
    double workMs(TokenCount prompt, TokenCount cached) const
    {
        return static_cast<double>((prompt - cached).count()) * msPerToken
            + millionPairs(prompt, cached) * msPerMillionPairs;
    }

    // Milliseconds until such a prompt is read, with nothing in front of it.
    double prefillMs(TokenCount prompt, TokenCount cached) const
    {
        return requestMs + workMs(prompt, cached);
    }
};

} // namespace almondscale
