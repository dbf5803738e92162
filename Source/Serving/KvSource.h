#pragma once

#include "Core/Address.h"

#include <string>

namespace almondscale {

// Where a decode engine fetches the KV cache of a prompt.
struct KvSource {
    Address engine;
    std::string handle;
};

} // namespace almondscale
