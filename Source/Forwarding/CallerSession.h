#pragma once

#include "Forwarding/ServingContext.h"

#include <memory>

namespace almondscale {

// One connection of a caller: reads its requests one after the other and sees at
// once when it leaves.
class CallerSession {
public:
    CallerSession(ServingContext&, tcp::socket);

    // Serves until the connection ends.
    awaitable<void> serve();
    // Closes the connection if no request is under way.
    void closeIfIdle();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
