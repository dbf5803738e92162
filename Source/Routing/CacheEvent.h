#pragma once

#include "Routing/PrefixHash.h"

#include <cstdint>

namespace almondscale {

enum class CacheEventKind {
    Stored,
    Evicted,
};

// A prefix cache event reported by an engine. Events arrive late, and the sequence may have gaps.
struct CacheEvent {
    std::uint64_t sequence = 0;
    CacheEventKind kind = CacheEventKind::Stored;
    PrefixHash prefix;
};

} // namespace almondscale
