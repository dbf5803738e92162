#pragma once

#include "Core/Identifier.h"

#include <cstdint>

namespace almondscale {

// Names one start of one backend server, engine or plain service.
using BackendId = Identifier<struct BackendIdTag>;

// The same on all hosts.
inline std::uint64_t backendHash(const BackendId& id)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const unsigned char c : id.text())
        hash = (hash ^ c) * 0x100000001b3ULL;
    return hash;
}

} // namespace almondscale
