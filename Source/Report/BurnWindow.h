#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace almondscale {

// A time span, ending now, over which a service level is evaluated.
struct BurnWindow {
    const char* name;
    std::chrono::seconds length;
    // Counts are kept in buckets of this length. The current bucket is incomplete, so the window covers
    // up to one bucket less than its length.
    std::chrono::seconds bucketLength;
};

constexpr std::chrono::seconds fineBurnBucketLength { 60 };
constexpr std::chrono::seconds coarseBurnBucketLength { 900 };

constexpr std::array<BurnWindow, 4> burnWindows { {
    { "5m", std::chrono::minutes(5), fineBurnBucketLength },
    { "1h", std::chrono::hours(1), fineBurnBucketLength },
    { "6h", std::chrono::hours(6), coarseBurnBucketLength },
    { "24h", std::chrono::hours(24), coarseBurnBucketLength },
} };

constexpr std::size_t fineBurnBucketCount = 60;
constexpr std::size_t coarseBurnBucketCount = 96;

} // namespace almondscale
