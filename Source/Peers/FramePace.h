#pragma once

#include "Core/MonotonicTime.h"

#include <cstddef>

namespace almondscale {

// How long a link waits from one frame to the next, by what both sides' last frames
// weigh and how many links the host has. It answers callers who come to several hosts
// at once: each host chooses by what the others have open, and two that have not heard
// of each other choose the same engine. A few engines are told soon; of many, as often
// as the hosts' bytes allow.
Nanoseconds framePause(std::size_t sentBytes, std::size_t receivedBytes, std::size_t links);

} // namespace almondscale
