#include "PromptPrefix.h"

#include <xxhash.h>

namespace almondscale {

namespace {

    // Engines name cached prompts by the hash of so many first words.
    constexpr int prefixWords = 64;
    constexpr const char* blanks = " \t\r\n\v\f";

} // namespace

PromptPrefix promptPrefix(const std::string& prompt)
{
    PromptPrefix prefix;
    std::size_t end = 0;
    for (int word = 0; word < prefixWords; ++word) {
        const std::size_t begin = prompt.find_first_not_of(blanks, end);
        if (begin == std::string::npos)
            break;
        const std::size_t blank = prompt.find_first_of(blanks, begin);
        end = blank == std::string::npos ? prompt.size() : blank;
        prefix.tokens += TokenCount(1);
    }
    prefix.hash = PrefixHash(XXH64(prompt.data(), end, 0));
    return prefix;
}

} // namespace almondscale
