#pragma once

#include <cstddef>

namespace almondscale {

// Memory that the operating system reports for the machine; 0 if it reports none.
std::size_t machineMemory();

// File descriptors that this process may open: what is stated (0 for nothing) and what the operating system
// grants.
std::size_t availableDescriptors(int stated);

} // namespace almondscale
