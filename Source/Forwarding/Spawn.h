#pragma once

#include "Forwarding/Asio.h"

#include <functional>

namespace almondscale {

// Starts a coroutine on the loop. An exception that leaves it ends the process,
// because a duty that stopped unseen would leave the host half alive.
void spawn(const boost::asio::any_io_executor&, awaitable<void>, std::function<void()> onEnd = {});

} // namespace almondscale
