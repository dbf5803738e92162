#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one data centre.
using DataCentre = Identifier<struct DataCentreTag>;

} // namespace almondscale
