#include "Core/MonotonicTime.h"

namespace almondscale {

Clock monotonicClock()
{
    return [] { return MonotonicTime(std::chrono::steady_clock::now()); };
}

} // namespace almondscale
