#pragma once

namespace almondscale {

// Puts HTTP load on running hosts and checks each answer in full.
int runLoadCommand(int argc, char** argv);

} // namespace almondscale
