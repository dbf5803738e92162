#pragma once

#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Report/BurnKey.h"
#include "Report/BurnSeries.h"

#include <map>
#include <optional>
#include <string>

namespace almondscale {

// What one host has counted. A later summary of the same incarnation replaces an
// earlier one; that of a host that is gone stays with its peers for a day.
struct BurnSummary {
    HostId host;
    Incarnation incarnation;
    WallTime createdAt;
    std::map<BurnKey, BurnSeries> series;
};

// A compact text, in which empty buckets take no room, and back.
std::string encodeBurnSummary(const BurnSummary&);
std::optional<BurnSummary> decodeBurnSummary(const std::string&);

} // namespace almondscale
