#pragma once

#include "Core/RowVersion.h"
#include "Core/StoreEra.h"

#include <ostream>
#include <tuple>

namespace almondscale {

// A point in the history of the platform's store. In a new era the store gives out versions again that it had
// given out before, so that the era decides first.
struct StoreVersion {
    StoreEra era;
    RowVersion version;

    friend bool operator==(StoreVersion a, StoreVersion b)
    {
        return a.era == b.era && a.version == b.version;
    }
    friend bool operator!=(StoreVersion a, StoreVersion b) { return !(a == b); }
    friend bool operator<(StoreVersion a, StoreVersion b)
    {
        return std::tuple(a.era, a.version.count()) < std::tuple(b.era, b.version.count());
    }
    friend bool operator<=(StoreVersion a, StoreVersion b) { return !(b < a); }
    friend std::ostream& operator<<(std::ostream& out, StoreVersion version)
    {
        return out << version.era << '.' << version.version;
    }
};

} // namespace almondscale
