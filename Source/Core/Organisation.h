#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one organisation whose callers send requests.
using Organisation = Identifier<struct OrganisationTag>;

} // namespace almondscale
