#pragma once

#include "Core/ByteCount.h"

namespace almondscale {

// What the machine of a host has for its process; 0 if the settings do not say.
struct MachineLimits {
    ByteCount memory;
    int descriptors = 0;
};

} // namespace almondscale
