#pragma once

#include "Core/Quantity.h"

namespace almondscale {

// The hash of the first words of a prompt, as used by engines in cache events.
using PrefixHash = Quantity<struct PrefixHashTag, std::uint64_t>;

} // namespace almondscale
