#pragma once

#include "Core/ByteCount.h"
#include "Core/MonotonicTime.h"
#include "Core/TokenCount.h"

namespace almondscale {

// Properties shared by all engines of a service.
struct EngineSpec {
    // Requests that run concurrently.
    int slots = 0;
    // Memory shared by running requests and cached prefixes, in tokens.
    TokenCount memory;
    ByteCount bytesPerToken;
    // How long the KV cache of a prefill is kept for the engine that fetches it.
    Nanoseconds handleLifetime {};
    // How long an engine is unavailable while it changes its role.
    Nanoseconds roleChangeTime {};
    // Bytes of a KV cache that are transferred within a data centre in a millisecond; 0 if unknown. Between
    // data centres it takes twice the time.
    double bytesPerMs = 0;

    // Milliseconds to transfer the KV cache of a prompt within a data centre.
    double transferMs(TokenCount prompt) const
    {
        return bytesPerMs > 0 ? static_cast<double>(prompt.count() * bytesPerToken.count()) / bytesPerMs : 0;
    }
};

} // namespace almondscale
