#pragma once

#include "Serving/BackendRecord.h"

#include <cstdint>

namespace almondscale {

// One life of a backend server, from its start to its end.
struct BackendLifetime {
    BackendId backend;
    // In milliseconds since 1970; an id may be used again by a server that starts anew.
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
