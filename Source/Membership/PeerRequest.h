#pragma once

#include "Core/Address.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace almondscale {

// A peer's request for content that this host holds, such as the rules in force.
struct PeerRequest {
    Address from;
    std::uint64_t sequence = 0;
    std::string topic;
    // The offset in the content, in bytes, from which the peer needs the next chunk.
    std::size_t offset = 0;
};

} // namespace almondscale
