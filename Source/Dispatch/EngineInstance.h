#pragma once

#include "Core/EngineId.h"

#include <cstdint>

namespace almondscale {

// One instance of an engine, from its start to its crash.
struct EngineInstance {
    EngineId engine;
    // Different at each start of the engine.
    std::uint64_t boot = 0;

    friend bool operator==(const EngineInstance& a, const EngineInstance& b)
    {
        return a.engine == b.engine && a.boot == b.boot;
    }
    friend bool operator!=(const EngineInstance& a, const EngineInstance& b) { return !(a == b); }
    friend bool operator<(const EngineInstance& a, const EngineInstance& b)
    {
        return a.engine < b.engine || (a.engine == b.engine && a.boot < b.boot);
    }
};

} // namespace almondscale
