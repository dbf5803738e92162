#pragma once

#include <cstdint>
#include <tuple>

namespace almondscale {

// A prompt prefix that was sent to an engine, which caches it from then on. Both hashes are equal on all
// hosts.
struct SentPrefix {
    std::uint64_t backend = 0;
    std::uint64_t prefix = 0;

    friend bool operator<(const SentPrefix& a, const SentPrefix& b)
    {
        return std::tie(a.backend, a.prefix) < std::tie(b.backend, b.prefix);
    }
};

} // namespace almondscale
