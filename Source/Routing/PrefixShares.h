#pragma once

#include "Routing/PrefixHash.h"

#include <unordered_map>

namespace almondscale {

// The fraction of this host's recent requests that had each prefix. Memory use is bounded.
class PrefixShares {
public:
    void add(PrefixHash);
    double share(PrefixHash) const;

private:
    void decay();

    std::unordered_map<PrefixHash, double> m_counts;
    double m_total = 0;
    int m_sinceDecay = 0;
};

} // namespace almondscale
