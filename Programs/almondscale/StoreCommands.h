#pragma once

#include "Command.h"

namespace almondscale {

// The commands that begin with "store".
ExitStatus showStoredManifest(const ToolOptions&, const HostConnection&);
ExitStatus showStoredServers(const ToolOptions&, const HostConnection&);
ExitStatus showStoredLeases(const ToolOptions&, const HostConnection&);
ExitStatus showEngineOrders(const ToolOptions&, const HostConnection&);

} // namespace almondscale
