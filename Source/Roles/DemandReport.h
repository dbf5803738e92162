#pragma once

#include "Core/TokenCount.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace almondscale {

// The demand that one host has received for one pool since it started. The counters are cumulative,
// so a lost report only reduces the time resolution.
struct DemandReport {
    // The uptime of the host when the counters were read.
    std::chrono::milliseconds uptime {};
    std::uint64_t requests = 0;
    // Prompt tokens that were expected to miss the prefix cache.
    TokenCount prefillTokens;
    TokenCount decodeTokens;
    TokenCount contextTokens;
};

// Encodes and decodes the text form carried in heartbeats: five decimal numbers separated by
// spaces. Decoding returns nothing for malformed text.
std::string writeDemandReport(const DemandReport&);
std::optional<DemandReport> readDemandReport(const std::string&);

} // namespace almondscale
