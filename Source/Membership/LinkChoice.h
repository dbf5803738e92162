#pragma once

#include "Core/DataCentre.h"
#include "Core/HostId.h"

#include <cstddef>
#include <vector>

namespace almondscale {

// The hosts of `home` that keep a link to `remote`, by rendezvous hashing over the given live hosts of
// `home`. All hosts with the same view choose the same ones, and a lost host changes only its own place.
std::vector<HostId> linkHosts(
    const std::vector<HostId>& hosts, const DataCentre& home, const DataCentre& remote, std::size_t count);

} // namespace almondscale
