#pragma once

#include "Serving/BackendRecord.h"

#include <cstdint>

namespace almondscale {

// One run of a backend server, from start to termination.
struct BackendLifetime {
    BackendId backend;
    // Milliseconds since 1970. Tells a restarted server from an earlier one with the same id.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const BackendLifetime& a, const BackendLifetime& b)
    {
        return a.backend == b.backend && a.startedAtMs == b.startedAtMs;
    }
    friend bool operator!=(const BackendLifetime& a, const BackendLifetime& b) { return !(a == b); }
    friend bool operator<(const BackendLifetime& a, const BackendLifetime& b)
    {
        return a.backend < b.backend || (a.backend == b.backend && a.startedAtMs < b.startedAtMs);
    }
};

inline BackendLifetime lifetimeOf(const BackendRecord& record) { return { record.id, record.startedAtMs }; }

} // namespace almondscale
