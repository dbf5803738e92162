#pragma once

#include "Core/ErrorKind.h"
#include "Core/MonotonicTime.h"

#include <optional>

namespace almondscale {

// When a caller that was refused for this reason may usefully come back; nothing
// if its request may have run or cannot succeed later.
std::optional<Nanoseconds> retryAfter(ErrorKind);

} // namespace almondscale
