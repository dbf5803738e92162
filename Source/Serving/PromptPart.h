#pragma once

#include "Core/Quantity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondscale {

// Identifies a part of a prompt. Prompts that share a part have the same id for it.
using PromptPartId = Quantity<struct PromptPartTag, std::uint64_t>;

// The text form used in logs and status pages: hexadecimal, as callers send it.
std::string partText(PromptPartId);
// The first parts of the list, separated by commas, followed by the number of further ones.
std::string partsText(const std::vector<PromptPartId>&);

} // namespace almondscale
