#pragma once

#include "Core/Organisation.h"
#include "Core/Priority.h"
#include "Serving/KeyDigest.h"

#include <optional>
#include <vector>

namespace almondscale {

// An organisation of the manifest and the keys by which its callers are identified.
struct OrganisationSpec {
    Organisation name;
    std::vector<KeyDigest> keys;
    // Goes before the priority of a route. 0 is the most urgent.
    std::optional<Priority> priority;
};

} // namespace almondscale
