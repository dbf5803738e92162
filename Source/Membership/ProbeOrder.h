#pragma once

#include "Core/HostId.h"
#include "Core/RandomSource.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace almondscale {

// Round-robin order of the probed hosts, reshuffled for each round, so that each host is probed once per
// round.
class ProbeOrder {
public:
    // The next host of the round that is still a candidate; nullopt if there are no candidates.
    std::optional<HostId> next(const std::vector<HostId>& candidates, const RandomSource&);

private:
    std::vector<HostId> m_round;
};

// Shuffles with the given random source, so that a seeded run is reproducible.
void shuffleHosts(std::vector<HostId>&, const RandomSource&);

} // namespace almondscale
