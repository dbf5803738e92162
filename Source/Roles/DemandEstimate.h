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

// Builds the demand on a pool from the late reports of its hosts.
class DemandEstimate {
public:
    struct Settings {
        // The span over which the current demand is averaged.
        Nanoseconds averagingWindow = std::chrono::seconds(8);
        // The span that is remembered, as one sample for each short horizon.
        Nanoseconds historyWindow = std::chrono::seconds(900);
        // A host that has not reported for this long is left out.
        Nanoseconds maxReportAge = std::chrono::seconds(5);
        // A host silent for this long counts as gone for good.
        Nanoseconds hostExpiry = std::chrono::seconds(30);
    };

    explicit DemandEstimate(const Settings&);

    void onReport(const HostId&, const DemandReport&, MonotonicTime now);

    // Drops what is too old and takes a sample for the long horizon when one is due.
    void advance(MonotonicTime now);

    // Nothing until the reports of every live host cover the short horizon.
    std::optional<Demand> current(MonotonicTime now) const;

    // One demand for each short horizon within the long one, the oldest first.
    const std::deque<Demand>& samples() const { return m_samples; }

    // How many samples were taken since the start, including those that were dropped.
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
