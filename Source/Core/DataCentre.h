#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Identifies a data centre.
using DataCentre = Identifier<struct DataCentreTag>;

} // namespace almondscale
