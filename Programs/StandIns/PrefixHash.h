#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondscale::standin {

// The number of words that identify a prompt's prefix in cache events.
constexpr std::size_t prefixWords = 64;

// A prompt's words as an engine sees them: how many, and what its cache keys are.
struct PrefixHash {
    std::int64_t tokens = 0;
    // The hash of the first prefixWords words, in hexadecimal.
    std::string prefix;
    // For each full block of the prompt, the hash of all words up to its end.
    std::vector<std::uint64_t> blocks;
};

PrefixHash hashPrompt(const std::string& prompt, std::int64_t blockTokens);

} // namespace almondscale::standin
