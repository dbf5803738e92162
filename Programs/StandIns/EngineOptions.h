#pragma once

#include "StandIns/EngineSettings.h"
#include "StandIns/OptionTable.h"

namespace almondscale::standin {

// Adds an option for each setting of a stand-in engine.
void addEngineOptions(OptionTable&, EngineSettings&);

} // namespace almondscale::standin
