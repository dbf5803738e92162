#pragma once

#include "Load/MixLine.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// The kinds of calls that a run sends.
struct LoadMix {
    std::vector<MixLine> lines;
};

// Reads a mix: one kind of call a line, 'completion' or 'booking', then key=value
// pairs. On an error the text tells the line and what is allowed.
std::optional<LoadMix> parseMix(const std::string& text, std::string& error);

// The text of a mix that the program knows by name; nothing for another name.
std::optional<std::string> namedMix(const std::string& name);

// The names, separated by blanks.
std::string mixNames();

} // namespace almondscale
