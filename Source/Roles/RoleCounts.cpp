#include "Roles/RoleCounts.h"

#include <algorithm>

namespace almondscale {

int& RoleCounts::of(EngineRole role)
{
    if (role == EngineRole::Prefill)
        return prefill;
    if (role == EngineRole::Decode)
        return decode;
    return mixed;
}

int RoleCounts::of(EngineRole role) const { return const_cast<RoleCounts*>(this)->of(role); }

std::vector<RoleCounts> allRoleCounts(int engines)
{
    std::vector<RoleCounts> all;
    for (int prefill = 0; prefill <= engines; ++prefill) {
        for (int decode = 0; decode <= engines - prefill; ++decode)
            all.push_back({ prefill, decode, engines - prefill - decode });
    }
    return all;
}

int changesBetween(const RoleCounts& from, const RoleCounts& to)
{
    return std::max(0, to.prefill - from.prefill) + std::max(0, to.decode - from.decode)
        + std::max(0, to.mixed - from.mixed);
}

} // namespace almondscale
