#include "Rules/LineDifference.h"

#include <algorithm>
#include <unordered_map>

namespace almondscale {

namespace {

    using Lines = std::vector<std::string>;

    struct Match {
        std::size_t base = 0;
        std::size_t changed = 0;
    };

    struct Occurrences {
        std::size_t inBase = 0;
        std::size_t inChanged = 0;
        std::size_t basePosition = 0;
    };

    // Pairs the lines that occur exactly once in each text, ordered by position in the changed text.
    std::vector<Match> uniqueMatches(const Lines& base, const Lines& changed)
    {
        std::unordered_map<std::string, Occurrences> found;
        for (std::size_t i = 0; i < base.size(); ++i) {
            auto& occurrences = found[base[i]];
            ++occurrences.inBase;
            occurrences.basePosition = i;
        }
        for (const auto& line : changed)
            ++found[line].inChanged;
        std::vector<Match> matches;
        for (std::size_t i = 0; i < changed.size(); ++i) {
            const auto& occurrences = found[changed[i]];
            if (occurrences.inBase == 1 && occurrences.inChanged == 1)
                matches.push_back({ occurrences.basePosition, i });
        }
        return matches;
    }

    // Returns the longest subsequence with ascending positions in the base (patience sorting).
    std::vector<Match> longestIncreasingSubsequence(const std::vector<Match>& matches)
    {
        constexpr auto none = static_cast<std::size_t>(-1);
        std::vector<std::size_t> tails;
        std::vector<std::size_t> previous(matches.size(), none);
        for (std::size_t i = 0; i < matches.size(); ++i) {
            const auto place = std::lower_bound(tails.begin(), tails.end(), matches[i].base,
                [&](std::size_t tail, std::size_t position) { return matches[tail].base < position; });
            if (place != tails.begin())
                previous[i] = *(place - 1);
            if (place == tails.end())
                tails.push_back(i);
            else
                *place = i;
        }
        std::vector<Match> increasing;
        for (auto i = tails.empty() ? none : tails.back(); i != none; i = previous[i])
            increasing.push_back(matches[i]);
        std::reverse(increasing.begin(), increasing.end());
        return increasing;
    }

    // Adds an edit for the lines between two matches, without common leading and trailing lines.
    void addEdit(std::vector<LineEdit>& edits, const Lines& base, const Lines& changed, LineEdit gap)
    {
        while (gap.baseBegin < gap.baseEnd && gap.newBegin < gap.newEnd
            && base[gap.baseBegin] == changed[gap.newBegin]) {
            ++gap.baseBegin;
            ++gap.newBegin;
        }
        while (gap.baseBegin < gap.baseEnd && gap.newBegin < gap.newEnd
            && base[gap.baseEnd - 1] == changed[gap.newEnd - 1]) {
            --gap.baseEnd;
            --gap.newEnd;
        }
        if (gap.baseBegin < gap.baseEnd || gap.newBegin < gap.newEnd)
            edits.push_back(gap);
    }

} // namespace

std::vector<LineEdit> diffLines(const Lines& base, const Lines& changed)
{
    std::vector<LineEdit> edits;
    LineEdit gap;
    for (const auto& match : longestIncreasingSubsequence(uniqueMatches(base, changed))) {
        gap.baseEnd = match.base;
        gap.newEnd = match.changed;
        addEdit(edits, base, changed, gap);
        gap.baseBegin = match.base + 1;
        gap.newBegin = match.changed + 1;
    }
    gap.baseEnd = base.size();
    gap.newEnd = changed.size();
    addEdit(edits, base, changed, gap);
    return edits;
}

} // namespace almondscale
