#pragma once

#include <string>
#include <vector>

namespace almondscale {

// Splits at newlines, which are removed. A last line without a newline is included.
std::vector<std::string> splitLines(const std::string& text);

// Joins the lines, each followed by a newline.
std::string joinLines(const std::vector<std::string>& lines);

} // namespace almondscale
