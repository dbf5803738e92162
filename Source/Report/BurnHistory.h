#pragma once

#include "Report/BurnCounts.h"
#include "Report/BurnWindow.h"
#include "Report/WallTime.h"

#include <cstdint>
#include <map>

namespace almondscale {

// The counts of one series over the last day: by the minute for an hour, by the
// quarter of an hour for the rest. What is older is dropped.
class BurnHistory {
public:
    // Buckets by their number since the epoch.
    using Buckets = std::map<std::int64_t, BurnCounts>;

    void add(const BurnCounts&, WallTime);
    void merge(const BurnHistory&);
    void removeExpired(WallTime now);

    BurnCounts sum(const BurnWindow&, WallTime now) const;

    const Buckets& fine() const { return m_fine; }
    const Buckets& coarse() const { return m_coarse; }
    void setBucket(bool fine, std::int64_t bucket, const BurnCounts&);

private:
    Buckets m_fine;
    Buckets m_coarse;
};

} // namespace almondscale
