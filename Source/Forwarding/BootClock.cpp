#include "Forwarding/BootClock.h"

#include <ctime>

namespace almondscale {

MonotonicTime bootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return MonotonicTime(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace almondscale
