#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace almondscale {

// A span of time up to now over which a service level is judged.
struct BurnWindow {
    const char* name;
    std::chrono::seconds length;
    // The counts come in buckets of this length, and the present one is only partly over.
    std::chrono::seconds bucket;
};

constexpr std::chrono::seconds fineBurnBucket { 60 };
constexpr std::chrono::seconds coarseBurnBucket { 900 };

constexpr std::array<BurnWindow, 4> burnWindows { {
    { "5m", std::chrono::minutes(5), fineBurnBucket },
    { "1h", std::chrono::hours(1), fineBurnBucket },
    { "6h", std::chrono::hours(6), coarseBurnBucket },
    { "24h", std::chrono::hours(24), coarseBurnBucket },
} };

constexpr std::size_t fineBurnBuckets = 60;
constexpr std::size_t coarseBurnBuckets = 96;

} // namespace almondscale
