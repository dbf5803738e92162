// Preloaded into a host of the soak: its time of day differs by SOAK_CLOCK_SHIFT_S
// seconds, while its other clocks go on as they are.

#include <cstdlib>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

time_t shift()
{
    static const char* const text = std::getenv("SOAK_CLOCK_SHIFT_S");
    static const auto seconds = static_cast<time_t>(text ? std::atof(text) : 0);
    return seconds;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
    if (result == 0 && clock == CLOCK_REALTIME)
        time->tv_sec += shift();
    return result;
}
