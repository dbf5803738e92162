#pragma once

#include "Core/Identifier.h"
#include "Core/TextHash.h"

#include <cstdint>

namespace almondscale {

// Identifies one run of one backend server, from start to termination; an engine or a server of a plain
// service.
using BackendId = Identifier<struct BackendIdTag>;

// Equal on all hosts.
inline std::uint64_t backendHash(const BackendId& id) { return addToTextHash(emptyTextHash, id.text()); }

} // namespace almondscale
