#pragma once

#include <cstdint>
#include <string>

namespace almondscale::standin {

// The token with this index of the answer to a prompt; every engine gives the same.
std::string answerToken(const std::string& prompt, std::uint64_t index);

// The answer's tokens from 0 to below the count, joined as a caller sees them.
std::string answerText(const std::string& prompt, std::uint64_t count);

} // namespace almondscale::standin
