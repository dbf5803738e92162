#pragma once

namespace almondscale {

// Compares routing policies on the same arrivals.
int runRoutingCommand(int argc, char** argv);

} // namespace almondscale
