#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one write to the platform's table, so that a write with a lost answer is recognised.
using WriterId = Identifier<struct WriterIdTag>;

} // namespace almondscale
