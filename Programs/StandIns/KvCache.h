#pragma once

#include "Core/TokenCount.h"

#include <cstdint>
#include <string>

namespace almondscale::standin {

// The KV cache of a prompt, as it moves between engines.
struct KvCache {
    std::uint64_t promptHash = 0;
    TokenCount tokens;
};

// The size of the cache of one token on the wire, in bytes.
constexpr std::int64_t kvBytesPerToken = 64;

std::uint64_t hashForKv(const std::string& prompt);

} // namespace almondscale::standin
