#pragma once

#include "Core/DataCentre.h"
#include "Core/HostId.h"

#include <cstddef>
#include <vector>

namespace almondscale {

// Selects up to `count` of `hosts`, the live hosts of `from`, to maintain the links to `to`. Uses
// rendezvous hashing: hosts with the same view make the same selection, and the loss of a host replaces only
// that host.
std::vector<HostId> selectLinkHosts(
    const std::vector<HostId>& hosts, const DataCentre& from, const DataCentre& to, std::size_t count);

} // namespace almondscale
