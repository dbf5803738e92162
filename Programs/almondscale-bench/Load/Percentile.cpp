#include "Load/Percentile.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

Nanoseconds percentile(std::vector<Nanoseconds> times, double share)
{
    if (times.empty())
        return Nanoseconds(0);
    const double rank = std::ceil(share * static_cast<double>(times.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    const auto at = times.begin() + static_cast<std::ptrdiff_t>(std::min(index, times.size() - 1));
    std::nth_element(times.begin(), at, times.end());
    return *at;
}

} // namespace almondscale
