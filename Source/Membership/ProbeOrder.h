#pragma once

#include "Core/HostId.h"
#include "Core/RandomSource.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace almondscale {

// Goes round the hosts in an order that is shuffled anew for each round, so that each is probed once a round.
class ProbeOrder {
public:
    // The next host of the round that is still among the candidates; nothing if there are none.
    std::optional<HostId> next(const std::vector<HostId>& candidates, const RandomSource&);

private:
    std::vector<HostId> m_round;
};

// Shuffles by the random source, so that a run can be repeated.
void shuffleHosts(std::vector<HostId>&, const RandomSource&);

} // namespace almondscale
