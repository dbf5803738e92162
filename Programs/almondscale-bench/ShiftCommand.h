#pragma once

namespace almondscale {

// Runs one policy under a moving mix; returns the exit status.
int runShiftCommand(int argc, char** argv);

} // namespace almondscale
