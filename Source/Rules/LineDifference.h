#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace almondscale {

// Replaces the base lines [baseBegin, baseEnd) with the changed lines [newBegin, newEnd).
// Either range may be empty.
struct LineEdit {
    std::size_t baseBegin = 0;
    std::size_t baseEnd = 0;
    std::size_t newBegin = 0;
    std::size_t newEnd = 0;
};

// Returns the edits that turn `base` into `changed`, disjoint and in ascending order.
std::vector<LineEdit> diffLines(
    const std::vector<std::string>& base, const std::vector<std::string>& changed);

} // namespace almondscale
