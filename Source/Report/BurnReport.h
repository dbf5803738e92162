#pragma once

#include "Report/BurnSummary.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace almondscale {

// One line of the report.
struct BurnRow {
    BurnKey key;
    ObjectiveRule objective;
    // In the order of burnWindows.
    std::array<BurnCounts, burnWindows.size()> windows;

    // How many times faster than the objective allows its budget is spent; 1 spends it exactly.
    double burnRate(std::size_t window) const;
    // The share of the longest window's budget that is left; below 0 it is overspent.
    double budgetLeft() const;
};

// The summaries of all hosts put together.
class BurnReport {
public:
    BurnReport();
    ~BurnReport();

    // Takes a summary in. An older one of the same incarnation of a host changes nothing.
    void merge(const BurnSummary&);
    // Drops the summaries of hosts that have been gone for longer than the longest window.
    void removeExpired(WallTime now);
    // The hosts' latest summaries, to be handed on.
    std::vector<BurnSummary> summaries() const;

    // Those with the highest burn rate over the last hour first.
    std::vector<BurnRow> rows(WallTime now) const;
    std::string renderTable(WallTime now) const;
    std::string renderJson(WallTime now) const;
    // The burn rate over the last hour, by the minute, of the rows that burn fastest.
    std::string renderSvg(WallTime now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
