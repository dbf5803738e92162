#pragma once

#include "Core/ErrorKind.h"
#include "Core/MonotonicTime.h"

#include <optional>

namespace almondscale {

// How long a caller should wait before it repeats a request that failed for this reason; unset if the request
// may have been executed or cannot succeed later.
std::optional<Nanoseconds> retryAfter(ErrorKind);

} // namespace almondscale
