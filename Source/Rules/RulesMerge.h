#pragma once

#include <string>
#include <vector>

namespace almondscale {

// A merge conflict: two changes to the same lines of the base.
struct RulesClash {
    // The first conflicting line in each text, counted from 1.
    int baseLine = 0;
    int winnerLine = 0;
    int proposedLine = 0;
    std::vector<std::string> winnerLines;
    std::vector<std::string> proposedLines;
};

// The result of a merge. The text is empty if there are conflicts.
struct RulesMerge {
    std::string text;
    std::vector<RulesClash> clashes;

    bool ok() const { return clashes.empty(); }
};

// Three-way merge of two changes to `base`: `winner` is already in force, `proposed` is rebased onto it.
// Lines that both insert at the same place are all kept, the winner's first, as the order of rules
// is not significant.
RulesMerge mergeRules(const std::string& base, const std::string& winner, const std::string& proposed);

} // namespace almondscale
