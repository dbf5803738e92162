#pragma once

#include <cstdint>

namespace almondscale {

// Counts of requests measured against an objective. A request that missed it in several ways is in
// several of the failure counts.
struct BurnCounts {
    std::uint64_t total = 0;
    std::uint64_t good = 0;
    std::uint64_t firstTokenLate = 0;
    std::uint64_t tokenGapLate = 0;
    std::uint64_t incomplete = 0;

    BurnCounts& operator+=(const BurnCounts& other)
    {
        total += other.total;
        good += other.good;
        firstTokenLate += other.firstTokenLate;
        tokenGapLate += other.tokenGapLate;
        incomplete += other.incomplete;
        return *this;
    }
    friend bool operator==(const BurnCounts& a, const BurnCounts& b)
    {
        return a.total == b.total && a.good == b.good && a.firstTokenLate == b.firstTokenLate
            && a.tokenGapLate == b.tokenGapLate && a.incomplete == b.incomplete;
    }
};

} // namespace almondscale
