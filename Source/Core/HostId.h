#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies an entry host.
using HostId = Identifier<struct HostIdTag>;

} // namespace almondscale
