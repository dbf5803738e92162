#pragma once

#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Report/BurnKey.h"
#include "Report/BurnSeries.h"

#include <map>
#include <optional>
#include <string>

namespace almondscale {

// The counts of one host. A later summary of the same incarnation replaces an earlier one; peers keep
// the summary of a departed host for 24 hours.
struct BurnSummary {
    HostId host;
    Incarnation incarnation;
    WallTime createdAt;
    std::map<BurnKey, BurnSeries> series;
};

// Compact text format; empty buckets are omitted.
std::string encodeBurnSummary(const BurnSummary&);
// Returns std::nullopt if the text is truncated or malformed.
std::optional<BurnSummary> decodeBurnSummary(const std::string&);

} // namespace almondscale
