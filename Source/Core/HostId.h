#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one entry host.
using HostId = Identifier<struct HostIdTag>;

} // namespace almondscale
