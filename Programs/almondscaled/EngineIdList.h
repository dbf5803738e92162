#pragma once

#include "Core/EngineId.h"

#include <set>
#include <string>

namespace almondscale {

// Engine ids as a text for shared items, separated by blanks, and back.
template <typename Engines> std::string writeEngineIds(const Engines& engines)
{
    std::string text;
    for (const EngineId& engine : engines)
        text += (text.empty() ? "" : " ") + engine.text();
    return text;
}

// Adds the ids in the text to the set.
void readEngineIds(const std::string& text, std::set<EngineId>&);

} // namespace almondscale
