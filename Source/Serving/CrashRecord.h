#pragma once

#include "Dispatch/Fingerprint.h"
#include "Serving/ServerEnd.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// The servers that terminated while they ran requests with the same content.
struct CrashRecord {
    Fingerprint content;
    // One entry per server, in no particular order.
    std::vector<ServerEnd> ends;
};

// Converts the record to and from a JSON row of the store. Times are stored as ages relative to `wallMs`, in
// milliseconds since 1970, because hosts have no common monotonic clock.
std::string encodeCrashRecord(const CrashRecord&, MonotonicTime now, std::int64_t wallMs);
std::optional<CrashRecord> decodeCrashRecord(const std::string&, MonotonicTime now, std::int64_t wallMs);

} // namespace almondscale
