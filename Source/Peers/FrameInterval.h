#pragma once

#include "Core/MonotonicTime.h"

#include <cstddef>

namespace almondscale {

// The interval between two frames on a link, given the sizes in bytes of the last frames sent and received
// and the number of links of the host. Hosts place requests by the load that other hosts report, and two
// hosts with outdated reports pick the same engine for simultaneous requests. Small frames are therefore sent
// often, and large ones as often as the traffic limit of a host allows.
Nanoseconds frameInterval(std::size_t sentBytes, std::size_t receivedBytes, std::size_t links);

} // namespace almondscale
