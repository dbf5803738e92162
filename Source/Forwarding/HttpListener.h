#pragma once

#include "Core/Address.h"
#include "Forwarding/Asio.h"

#include <functional>
#include <memory>

namespace almondscale {

// Accepts TCP connections at one address and passes each socket to a callback.
class HttpListener {
public:
    using OnConnection = std::function<void(tcp::socket)>;

    HttpListener(const boost::asio::any_io_executor&, OnConnection);

    // Sets the size of the kernel's buffers for each accepted connection. Call before start().
    void setSocketBuffers(int bytes);
    // Listens and accepts until stop(). Returns the error if the address cannot be bound.
    std::error_code start(const Address&);
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
