#pragma once

#include "Routing/PrefixHash.h"

#include <cstdint>

namespace almondscale {

// What happened to a prefix in an engine's cache.
enum class CacheEventKind {
    Stored,
    Evicted,
};

// One cache event of an engine; events come late and with gaps in the sequence.
struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    PrefixHash prefix;
};

} // namespace almondscale
