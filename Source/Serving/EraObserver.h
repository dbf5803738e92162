#pragma once

#include "Core/StoreEra.h"

#include <functional>

namespace almondscale {

// Observes the eras of the platform's store, by its responses to this host and by the rows that other hosts
// pass on: a host that reads through another one may make no call of its own for a while.
class EraObserver {
public:
    // Called once for each later era; `before` is 0 for the first one.
    std::function<void(StoreEra before)> onEra;

    void note(StoreEra);
    // The latest era; 0 if none is known.
    StoreEra era() const { return m_era; }

private:
    StoreEra m_era;
    bool m_known = false;
};

} // namespace almondscale
