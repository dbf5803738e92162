#pragma once

#include <string>
#include <vector>

namespace almondscale {

// The lines of a text without their line ends; a last line without an end counts as one.
std::vector<std::string> splitLines(const std::string& text);

// The text with each line ended.
std::string joinLines(const std::vector<std::string>& lines);

} // namespace almondscale
