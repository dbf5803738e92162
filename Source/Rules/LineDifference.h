#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace almondscale {

// A run of lines of the base that a change replaces by a run of its own lines.
struct LineEdit {
    std::size_t baseBegin = 0;
    std::size_t baseEnd = 0;
    std::size_t newBegin = 0;
    std::size_t newEnd = 0;
};

// The edits that turn the base into the changed lines, in order and disjoint.
std::vector<LineEdit> diffLines(
    const std::vector<std::string>& base, const std::vector<std::string>& changed);

} // namespace almondscale
