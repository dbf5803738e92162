#include "Rules/RulesMerge.h"

#include "Rules/LineDifference.h"
#include "Rules/TextLines.h"

#include <algorithm>

namespace almondscale {

namespace {

    using Lines = std::vector<std::string>;

    // An edit with its replacement lines; `line` is the index of the first in the changed text.
    struct LineChange {
        std::size_t baseBegin = 0;
        std::size_t baseEnd = 0;
        std::size_t line = 0;
        Lines lines;
    };

    bool sameChange(const LineChange& a, const LineChange& b)
    {
        return a.baseBegin == b.baseBegin && a.baseEnd == b.baseEnd && a.lines == b.lines;
    }

    bool overlap(const LineChange& a, const LineChange& b)
    {
        return a.baseBegin < b.baseEnd && b.baseBegin < a.baseEnd;
    }

    // Splits the replacement of N lines with N lines into single-line changes, so that changes to
    // adjacent lines do not conflict.
    void addChange(std::vector<LineChange>& changes, const Lines& changed, const LineEdit& edit)
    {
        const auto count = edit.baseEnd - edit.baseBegin;
        if (count == 0 || count != edit.newEnd - edit.newBegin) {
            const auto begin = changed.begin();
            changes.push_back({ edit.baseBegin, edit.baseEnd, edit.newBegin,
                Lines(begin + static_cast<std::ptrdiff_t>(edit.newBegin),
                    begin + static_cast<std::ptrdiff_t>(edit.newEnd)) });
            return;
        }
        for (std::size_t i = 0; i < count; ++i)
            changes.push_back({ edit.baseBegin + i, edit.baseBegin + i + 1, edit.newBegin + i,
                { changed[edit.newBegin + i] } });
    }

    std::vector<LineChange> changesBetween(const Lines& base, const Lines& changed)
    {
        std::vector<LineChange> changes;
        for (const auto& edit : diffLines(base, changed))
            addChange(changes, changed, edit);
        return changes;
    }

    RulesClash makeClash(const LineChange& winner, const LineChange& proposed)
    {
        RulesClash clash;
        clash.baseLine = static_cast<int>(std::min(winner.baseBegin, proposed.baseBegin)) + 1;
        clash.winnerLine = static_cast<int>(winner.line) + 1;
        clash.proposedLine = static_cast<int>(proposed.line) + 1;
        clash.winnerLines = winner.lines;
        clash.proposedLines = proposed.lines;
        return clash;
    }

    std::vector<RulesClash> findClashes(
        const std::vector<LineChange>& winner, const std::vector<LineChange>& proposed)
    {
        std::vector<RulesClash> clashes;
        std::size_t first = 0;
        for (const auto& change : proposed) {
            while (first < winner.size() && winner[first].baseEnd < change.baseBegin)
                ++first;
            for (auto i = first; i < winner.size() && winner[i].baseBegin <= change.baseEnd; ++i) {
                if (overlap(winner[i], change) && !sameChange(winner[i], change))
                    clashes.push_back(makeClash(winner[i], change));
            }
        }
        return clashes;
    }

    // Combines both change lists, sorted by position; changes made by both sides are included once.
    std::vector<LineChange> combineChanges(
        std::vector<LineChange> winner, const std::vector<LineChange>& proposed)
    {
        const auto own = static_cast<std::ptrdiff_t>(winner.size());
        for (const auto& change : proposed) {
            const auto end = winner.begin() + own;
            const auto place = std::lower_bound(winner.begin(), end, change.baseBegin,
                [](const LineChange& a, std::size_t begin) { return a.baseBegin < begin; });
            const bool known
                = std::any_of(place, end, [&](const LineChange& a) { return sameChange(a, change); });
            if (!known)
                winner.push_back(change);
        }
        std::stable_sort(winner.begin(), winner.end(), [](const LineChange& a, const LineChange& b) {
            return a.baseBegin < b.baseBegin || (a.baseBegin == b.baseBegin && a.baseEnd < b.baseEnd);
        });
        return winner;
    }

    Lines applyChanges(const Lines& base, const std::vector<LineChange>& changes)
    {
        Lines result;
        std::size_t next = 0;
        for (const auto& change : changes) {
            for (; next < change.baseBegin; ++next)
                result.push_back(base[next]);
            result.insert(result.end(), change.lines.begin(), change.lines.end());
            next = std::max(next, change.baseEnd);
        }
        for (; next < base.size(); ++next)
            result.push_back(base[next]);
        return result;
    }

} // namespace

RulesMerge mergeRules(const std::string& base, const std::string& winner, const std::string& proposed)
{
    const auto baseLines = splitLines(base);
    const auto winnerChanges = changesBetween(baseLines, splitLines(winner));
    const auto proposedChanges = changesBetween(baseLines, splitLines(proposed));
    RulesMerge merge;
    merge.clashes = findClashes(winnerChanges, proposedChanges);
    if (merge.ok())
        merge.text = joinLines(applyChanges(baseLines, combineChanges(winnerChanges, proposedChanges)));
    return merge;
}

} // namespace almondscale
