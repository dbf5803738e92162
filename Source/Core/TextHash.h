#pragma once

#include <cstdint>
#include <string>

namespace almondscale {

// The initial value of a hash over several strings (FNV-1a offset basis).
inline constexpr std::uint64_t emptyTextHash = 0xcbf29ce484222325ULL;

// Returns the hash with the text added. The result is the same in all processes.
inline std::uint64_t addToTextHash(std::uint64_t hash, const std::string& text)
{
    constexpr std::uint64_t prime = 0x100000001b3ULL;
    for (const unsigned char c : text)
        hash = (hash ^ c) * prime;
    return hash;
}

} // namespace almondscale
