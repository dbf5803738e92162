#pragma once

#include "Report/BurnSummary.h"

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace almondscale {

// One row of the report: a model and an organisation.
struct BurnRow {
    BurnKey key;
    ObjectiveRule objective;
    // Indexed like burnWindows.
    std::array<BurnCounts, burnWindows.size()> windows;

    // The error rate divided by the error rate that the objective allows; 1 spends the error budget
    // exactly over the window. 0 if there were no requests or the objective allows no errors.
    double burnRate(std::size_t window) const;
    // The remaining fraction of the error budget of the longest window; negative if overspent.
    double budgetLeft() const;
};

// Merges the summaries of all hosts into one report. Not thread-safe.
class BurnReport {
public:
    BurnReport();
    ~BurnReport();

    // Adds a summary. A summary older than the stored one of the same host and incarnation is ignored.
    void merge(const BurnSummary&);
    // Removes summaries older than the longest window, such as those of hosts that left.
    void removeExpired(WallTime now);
    // The latest summary of each host incarnation, for forwarding to peers.
    std::vector<BurnSummary> summaries() const;

    // Sorted by the burn rate over the last hour, highest first.
    std::vector<BurnRow> rows(WallTime now) const;
    std::string renderTable(WallTime now) const;
    std::string renderJson(WallTime now) const;
    // Charts, per minute of the last hour, the burn rate and the share of good requests of the rows
    // with the highest burn rates.
    std::string renderSvg(WallTime now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
