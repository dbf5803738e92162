#pragma once

#include "Core/ModelName.h"
#include "Core/Organisation.h"

#include <tuple>

namespace almondscale {

// Names one series of counts.
struct BurnKey {
    ModelName model;
    Organisation organisation;

    friend bool operator<(const BurnKey& a, const BurnKey& b)
    {
        return std::tie(a.model, a.organisation) < std::tie(b.model, b.organisation);
    }
};

// Stands for the organisations of a model that have no series of their own.
inline const char* const otherOrganisations = "(other)";

} // namespace almondscale
