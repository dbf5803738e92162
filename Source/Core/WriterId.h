#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies one write to the platform's table, so that a write whose response was lost can be
// recognised.
using WriterId = Identifier<struct WriterIdTag>;

} // namespace almondscale
