#pragma once

#include <cstdint>
#include <tuple>

namespace almondscale {

// A prompt part that was sent to an engine, which keeps it from then on. Both are
// hashes that all hosts compute alike.
struct SentPrefix {
    std::uint64_t backend = 0;
    std::uint64_t prefix = 0;

    friend bool operator<(const SentPrefix& a, const SentPrefix& b)
    {
        return std::tie(a.backend, a.prefix) < std::tie(b.backend, b.prefix);
    }
};

} // namespace almondscale
