#include "Machine.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <limits>
#include <string>

namespace almondscale {

std::size_t machineMemory()
{
    std::ifstream file("/proc/meminfo");
    std::string key;
    std::size_t kilobytes = 0;
    while (file >> key) {
        if (key == "MemTotal:" && file >> kilobytes)
            return kilobytes << 10;
        file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    return 0;
}

std::size_t availableDescriptors(int stated)
{
    rlimit granted {};
    auto available = std::numeric_limits<std::size_t>::max();
    if (getrlimit(RLIMIT_NOFILE, &granted) == 0)
        available = static_cast<std::size_t>(granted.rlim_cur);
    return stated > 0 ? std::min(available, static_cast<std::size_t>(stated)) : available;
}

} // namespace almondscale
