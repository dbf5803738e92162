#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies an organisation whose callers send requests.
using Organisation = Identifier<struct OrganisationTag>;

} // namespace almondscale
