#pragma once

#include "Core/DataCentre.h"
#include "Core/HostId.h"

#include <cstddef>
#include <vector>

namespace almondscale {

// Selects up to `count` of `hosts`, the live hosts of `home`, to maintain the links to `remote`. Uses
// rendezvous hashing: hosts with the same view make the same selection, and the loss of a host replaces only
// that host.
std::vector<HostId> selectLinkHosts(
    const std::vector<HostId>& hosts, const DataCentre& home, const DataCentre& remote, std::size_t count);

} // namespace almondscale
