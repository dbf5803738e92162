#pragma once

#include "Core/HostId.h"
#include "Core/Incarnation.h"
#include "Core/Organisation.h"
#include "Serving/UsageWindow.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace almondscale {

// Identifies what one lifetime of a host counted in one window.
struct UsageRecordId {
    HostId host;
    Incarnation incarnation;
    UsageWindow window;

    friend bool operator<(const UsageRecordId& a, const UsageRecordId& b)
    {
        return std::tie(a.window, a.host, a.incarnation) < std::tie(b.window, b.host, b.incarnation);
    }
};

// Requests that began to run, by organisation.
using UsageCounts = std::map<Organisation, std::uint32_t>;

// Counts only rise, so that of two copies of a record the larger one is the newer.
struct UsageRecord {
    UsageRecordId id;
    UsageCounts counts;
    // The host counts no further requests in this window.
    bool closed = false;
};

} // namespace almondscale
