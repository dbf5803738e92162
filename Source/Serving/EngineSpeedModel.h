#pragma once

#include "Core/TokenCount.h"

namespace almondscale {

// Prefill times of an engine of nominal speed. The defaults serve until the first prefill has been measured;
// EngineSpeeds replaces them.
struct EngineSpeedModel {
    // Fixed cost of a request in milliseconds, during which other prefills continue.
    double requestMs = 16;
    double msPerToken = 1 / 48.2;
    // Milliseconds per million pairs of a new token and a token before it (attention).
    double msPerMillionPairs = 0.248;
    // Share of the work queued ahead of a prefill that delays it.
    double waitFactor = 1;

    // Pairs of a new token and a token before it, in millions.
    static double millionPairs(TokenCount prompt, TokenCount cached)
    {
        const auto fresh = static_cast<double>((prompt - cached).count());
        return fresh * (static_cast<double>(cached.count()) + fresh / 2) / 1e6;
    }

    // Milliseconds for which a prompt occupies an engine; its first `cached` tokens are cached.
    double workMs(TokenCount prompt, TokenCount cached) const
    {
        return static_cast<double>((prompt - cached).count()) * msPerToken
            + millionPairs(prompt, cached) * msPerMillionPairs;
    }

    // Milliseconds until such a prompt is prefilled on an idle engine.
    double prefillMs(TokenCount prompt, TokenCount cached) const
    {
        return requestMs + workMs(prompt, cached);
    }
};

} // namespace almondscale
