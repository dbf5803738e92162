#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// Names one start of one backend server, engine or plain service.
using BackendId = Identifier<struct BackendIdTag>;

} // namespace almondscale
