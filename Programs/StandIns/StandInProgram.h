#pragma once

#include "Core/Address.h"

#include <csignal>
#include <functional>

namespace almondscale::standin {

class StandInServer;

// Ends a stand-in on SIGTERM or SIGINT. It is made before any other thread, so
// that all threads leave these signals to it.
class StandInProgram {
public:
    StandInProgram();

    // Prints the address and serves until a signal comes.
    int run(StandInServer&);

private:
    sigset_t m_signals {};
};

} // namespace almondscale::standin
