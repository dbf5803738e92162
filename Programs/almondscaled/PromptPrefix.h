#pragma once

#include "Core/TokenCount.h"
#include "Routing/PrefixHash.h"

#include <string>

namespace almondscale {

// The beginning of a prompt by which cached prompts are recognised.
struct PromptPrefix {
    PrefixHash hash;
    TokenCount tokens;
};

PromptPrefix promptPrefix(const std::string& prompt);

} // namespace almondscale
