#pragma once

#include "Core/HostId.h"
#include "Core/MonotonicTime.h"
#include "Roles/Demand.h"
#include "Roles/DemandReport.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// Estimates the demand on a pool from the delayed reports of its hosts.
class DemandEstimate {
public:
    struct Settings {
        // The time over which the current demand is averaged.
        Nanoseconds averagingWindow = std::chrono::seconds(8);
        // The time covered by the samples, one for each averaging window.
        Nanoseconds historyWindow = std::chrono::seconds(900);
        // While the last report of any host is older than this, the demand is unknown.
        Nanoseconds maxReportAge = std::chrono::seconds(5);
        // A host that has not reported for this long is removed.
        Nanoseconds hostExpiry = std::chrono::seconds(30);
    };

    explicit DemandEstimate(const Settings&);

    void onReport(const HostId&, const DemandReport&, MonotonicTime now);

    // Removes expired reports and adds a sample to the history when one is due.
    void advance(MonotonicTime now);

    // Empty until the reports of every host cover at least half the averaging window, and while the
    // last report of any host is older than maxReportAge.
    std::optional<Demand> current(MonotonicTime now) const;

    // One sample for each averaging window in the history, oldest first.
    const std::deque<Demand>& samples() const { return m_samples; }

    // The number of samples taken since construction, including those removed from the history.
    std::uint64_t totalSamples() const { return m_totalSamples; }

private:
    struct Received {
        MonotonicTime at;
        DemandReport report;
    };

    void removeExpired(MonotonicTime now);

    Settings m_settings;
    std::map<HostId, std::deque<Received>> m_reports;
    std::deque<Demand> m_samples;
    std::uint64_t m_totalSamples = 0;
    MonotonicTime m_nextSample {};
};

} // namespace almondscale
