#include "Serving/PromptPart.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace almondscale {

namespace {

    // Bounds the length of log lines.
    constexpr std::size_t maxListedParts = 8;

} // namespace

std::string partText(PromptPartId part)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%" PRIx64, part.count());
    return text.data();
}

std::string partsText(const std::vector<PromptPartId>& parts)
{
    std::string text;
    const auto listed = std::min(parts.size(), maxListedParts);
    for (std::size_t i = 0; i < listed; ++i)
        text += (i > 0 ? "," : "") + partText(parts[i]);
    if (listed < parts.size())
        text += ",+" + std::to_string(parts.size() - listed);
    return text;
}

} // namespace almondscale
