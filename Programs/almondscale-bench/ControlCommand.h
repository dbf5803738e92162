#pragma once

namespace almondscale {

// Measures what the control traffic between hosts costs and how fast changes and failures become known.
int runControlCommand(int argc, char** argv);

} // namespace almondscale
