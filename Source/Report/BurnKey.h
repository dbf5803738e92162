#pragma once

#include "Core/ModelName.h"
#include "Core/Organisation.h"

#include <tuple>

namespace almondscale {

// Identifies one series of counts.
struct BurnKey {
    ModelName model;
    Organisation organisation;

    friend bool operator<(const BurnKey& a, const BurnKey& b)
    {
        return std::tie(a.model, a.organisation) < std::tie(b.model, b.organisation);
    }
};

// The organisation name of the series that aggregates a model's organisations without their own.
inline const char* const otherOrganisations = "(other)";

} // namespace almondscale
