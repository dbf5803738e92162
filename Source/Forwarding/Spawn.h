#pragma once

#include "Forwarding/Asio.h"

#include <functional>

namespace almondscale {

// Starts a coroutine on the executor. An exception that escapes it terminates the process,
// since the host must not keep running without one of its background tasks.
void spawn(const boost::asio::any_io_executor&, awaitable<void>, std::function<void()> onEnd = {});

} // namespace almondscale
