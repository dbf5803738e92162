#pragma once

#include "Serving/CrashSubject.h"
#include "Serving/ServerEnd.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// The servers that terminated while they ran requests with the same subject.
struct CrashRecord {
    CrashSubject subject;
    // One entry per server, in no particular order.
    std::vector<ServerEnd> ends;
    // For parts: when a request with the part was last known to be answered.
    std::optional<MonotonicTime> answeredAt;
};

// The time of the last termination; the epoch if there is none.
MonotonicTime lastEnd(const std::vector<ServerEnd>&);
// The servers that terminated, separated by commas.
std::string serversText(const std::vector<ServerEnd>&);

// Converts the record to and from a JSON row of the store. Times are stored as ages relative to `wallMs`, in
// milliseconds since 1970, because hosts have no common monotonic clock.
std::string encodeCrashRecord(const CrashRecord&, MonotonicTime now, std::int64_t wallMs);
std::optional<CrashRecord> decodeCrashRecord(const std::string&, MonotonicTime now, std::int64_t wallMs);

} // namespace almondscale
