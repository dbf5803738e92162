#pragma once

#include "Dispatch/Fingerprint.h"
#include "Serving/ServerEnd.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// The servers that ended while they ran requests of one content.
struct CrashRecord {
    Fingerprint content;
    // One for each server, in no order.
    std::vector<ServerEnd> ends;
};

// The record as a row of the store, in JSON. Times are told as ages; `wallMs`,
// milliseconds since 1970, dates them for hosts that start later.
std::string encodeCrashRecord(const CrashRecord&, MonotonicTime now, std::int64_t wallMs);
std::optional<CrashRecord> decodeCrashRecord(const std::string&, MonotonicTime now, std::int64_t wallMs);

} // namespace almondscale
