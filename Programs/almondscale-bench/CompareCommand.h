#pragma once

namespace almondscale {

// Runs all policies on the same arrivals; returns the exit status.
int runCompareCommand(int argc, char** argv);

} // namespace almondscale
