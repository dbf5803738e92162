#pragma once

#include "Core/TokenCount.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondscale {

// What one host was asked for since it started, for one pool.
// The counters only rise, so that a lost report costs nothing but resolution.
struct DemandReport {
    // The host's own uptime when the counters were read.
    std::chrono::milliseconds uptime {};
    std::uint64_t requests = 0;
    // Prompt tokens that no prefix cache was expected to hold.
    TokenCount prefillTokens;
    TokenCount decodeTokens;
    TokenCount contextTokens;
};

// The short text that heartbeats carry, and back.
std::string writeDemandReport(const DemandReport&);
std::optional<DemandReport> readDemandReport(const std::string&);

} // namespace almondscale
