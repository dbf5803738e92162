#pragma once

#include "Report/BurnCounts.h"
#include "Report/BurnWindow.h"
#include "Report/WallTime.h"

#include <cstdint>
#include <map>

namespace almondscale {

// The counts of one series over the last 24 hours: in one-minute buckets for the last hour and in
// 15-minute buckets for all 24 hours. Older buckets expire.
class BurnHistory {
public:
    // Keyed by the time since the epoch, in bucket lengths.
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
