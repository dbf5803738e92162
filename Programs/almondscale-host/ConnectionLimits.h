#pragma once

#include <algorithm>
#include <cstddef>

namespace almondscale {

// How many connections a host keeps open.
struct ConnectionLimits {
    std::size_t callers = 0;
    std::size_t servers = 0;

    // Descriptors for other hosts, status, the log and listeners. Each host keeps a few links to others.
    static constexpr std::size_t reserve = 64;

    // The descriptors are shared by callers and servers, since each running request needs one of both; memory
    // limits the callers further.
    static ConnectionLimits forDescriptors(std::size_t descriptors, std::size_t callersInMemory)
    {
        const auto shared = std::max(descriptors, 2 * reserve) - reserve;
        const auto callers = std::min(shared / 4 * 3, callersInMemory);
        return { callers, shared - callers };
    }
};

} // namespace almondscale
