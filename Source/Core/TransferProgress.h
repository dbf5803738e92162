#pragma once

#include "Core/MonotonicTime.h"

#include <cstddef>

namespace almondscale {

// How far a message that is being received has come.
struct TransferProgress {
    std::size_t received = 0;
    // 0 if the size is not known.
    std::size_t expected = 0;
    MonotonicTime lastByteAt {};

    bool complete() const { return received >= expected; }
};

} // namespace almondscale
