#pragma once

#include "Command.h"

namespace almondscale {

// The commands that show what a host knows, and the one that ends it.
ExitStatus showStatus(const ToolOptions&, const HostConnection&);
ExitStatus showHosts(const ToolOptions&, const HostConnection&);
ExitStatus showEngines(const ToolOptions&, const HostConnection&);
ExitStatus showServers(const ToolOptions&, const HostConnection&);
ExitStatus showSuspects(const ToolOptions&, const HostConnection&);
ExitStatus showLeases(const ToolOptions&, const HostConnection&);
ExitStatus orderEngine(const ToolOptions&, const HostConnection&);
ExitStatus reportBurn(const ToolOptions&, const HostConnection&);
ExitStatus shutDown(const ToolOptions&, const HostConnection&);

} // namespace almondscale
