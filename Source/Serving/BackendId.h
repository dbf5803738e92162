#pragma once

#include "Core/Identifier.h"
#include "Core/TextHash.h"

#include <cstdint>

namespace almondscale {

// Names one start of one backend server, engine or plain service.
using BackendId = Identifier<struct BackendIdTag>;

// The same on all hosts.
inline std::uint64_t backendHash(const BackendId& id) { return addToTextHash(emptyTextHash, id.text()); }

} // namespace almondscale
