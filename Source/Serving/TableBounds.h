#pragma once

#include "Core/MonotonicTime.h"

namespace almondscale {

// The time from the store's acknowledgement of a change until every host that can reach the store has to act
// on it.
struct TableBounds {
    // The manifest.
    Nanoseconds manifest = std::chrono::seconds(2);
    // A registration that says that its server is leaving.
    Nanoseconds backends = std::chrono::seconds(2);

    friend bool operator==(const TableBounds& a, const TableBounds& b)
    {
        return a.manifest == b.manifest && a.backends == b.backends;
    }
    friend bool operator!=(const TableBounds& a, const TableBounds& b) { return !(a == b); }
};

} // namespace almondscale
