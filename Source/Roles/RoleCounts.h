#pragma once

#include "Core/EngineRole.h"

#include <vector>

namespace almondscale {

// A role assignment of a pool: the number of engines with each role.
struct RoleCounts {
    int prefill = 0;
    int decode = 0;
    int mixed = 0;

    int total() const { return prefill + decode + mixed; }
    int& of(EngineRole);
    int of(EngineRole) const;

    friend bool operator==(const RoleCounts& a, const RoleCounts& b)
    {
        return a.prefill == b.prefill && a.decode == b.decode && a.mixed == b.mixed;
    }
    friend bool operator!=(const RoleCounts& a, const RoleCounts& b) { return !(a == b); }
};

// All possible role assignments of a number of engines.
std::vector<RoleCounts> allRoleCounts(int engines);

// The number of engines that must change role to get from one assignment to the other.
int changesBetween(const RoleCounts& from, const RoleCounts& to);

} // namespace almondscale
