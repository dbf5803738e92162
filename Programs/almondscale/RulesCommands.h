#pragma once

#include "Command.h"

namespace almondscale {

// The commands that begin with "rules".
ExitStatus checkRules(const ToolOptions&, const HostConnection&);
ExitStatus applyRules(const ToolOptions&, const HostConnection&);
ExitStatus showRules(const ToolOptions&, const HostConnection&);
ExitStatus showRulesHistory(const ToolOptions&, const HostConnection&);

} // namespace almondscale
