#pragma once

#include "Core/Address.h"
#include "Core/MonotonicTime.h"
#include "StandIns/HttpExchange.h"

#include <functional>
#include <memory>

namespace almondscale::standin {

// The HTTP server of a stand-in. Every request is handled in a thread of its own.
class StandInServer {
public:
    using Handler = std::function<void(HttpExchange&)>;

    // A request whose bytes stop coming for the read timeout is dropped.
    StandInServer(const Address& listen, Nanoseconds readTimeout, Handler);
    ~StandInServer();

    // The address with the port that was found if the given one was 0.
    const Address& address() const;
    // Serves until stop(); calls the hook as soon as connections are accepted.
    void run(const std::function<void()>& listening);
    // Closes every connection at once and refuses new ones until the time has passed.
    void interrupt(Nanoseconds);
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale::standin
