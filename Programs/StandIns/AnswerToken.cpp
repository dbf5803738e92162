#include "StandIns/AnswerToken.h"

#include <xxhash.h>

namespace almondscale::standin {

namespace {

    constexpr std::uint64_t vocabularySize = 10000;

} // namespace

std::string answerToken(const std::string& prompt, std::uint64_t index)
{
    return "w" + std::to_string(XXH64(prompt.data(), prompt.size(), index) % vocabularySize);
}

std::string answerText(const std::string& prompt, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t i = 0; i < count; ++i)
        text += " " + answerToken(prompt, i);
    return text;
}

} // namespace almondscale::standin
