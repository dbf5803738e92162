#include "StandIns/PrefixHash.h"

#include <xxhash.h>

#include <cstdio>

namespace almondscale::standin {

namespace {

    constexpr const char* whiteSpace = " \t\r\n\v\f";

    std::string hexadecimal(std::uint64_t value)
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
        return text;
    }

} // namespace

PrefixHash hashPrompt(const std::string& prompt, std::int64_t blockTokens)
{
    PrefixHash hash;
    std::size_t prefixEnd = 0;
    std::size_t blockBegin = 0;
    std::size_t position = prompt.find_first_not_of(whiteSpace);
    while (position != std::string::npos) {
        std::size_t end = prompt.find_first_of(whiteSpace, position);
        if (end == std::string::npos)
            end = prompt.size();
        ++hash.tokens;
        if (hash.tokens <= static_cast<std::int64_t>(prefixWords))
            prefixEnd = end;
        if (hash.tokens % blockTokens == 0) {
            // Chaining on the block before keeps the whole a single pass.
            const std::uint64_t before = hash.blocks.empty() ? 0 : hash.blocks.back();
            hash.blocks.push_back(XXH64(prompt.data() + blockBegin, end - blockBegin, before));
            blockBegin = end;
        }
        position = prompt.find_first_not_of(whiteSpace, end);
    }
    hash.prefix = hexadecimal(XXH64(prompt.data(), prefixEnd, 0));
    return hash;
}

} // namespace almondscale::standin
