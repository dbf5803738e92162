#pragma once

#include <string>
#include <vector>

namespace almondscale {

// A place where two changes of one base touch the same lines.
struct RulesClash {
    // The first line of the place in each text, counted from 1.
    int baseLine = 0;
    int winnerLine = 0;
    int proposedLine = 0;
    std::vector<std::string> winnerLines;
    std::vector<std::string> proposedLines;
};

// The merged text, which holds only if nothing clashes.
struct RulesMerge {
    std::string text;
    std::vector<RulesClash> clashes;

    bool ok() const { return clashes.empty(); }
};

// Merges two changes made to one base. Lines that both add at the same place are
// all kept, the winner's first, as the order of rules has no meaning.
RulesMerge mergeRules(const std::string& base, const std::string& winner, const std::string& proposed);

} // namespace almondscale
