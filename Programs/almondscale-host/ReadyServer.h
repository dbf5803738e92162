#pragma once

#include "Forwarding/HttpListener.h"

#include <functional>
#include <string>

namespace almondscale {

// Answers the balancer whether this host takes callers, and serves the metrics.
class ReadyServer {
public:
    struct Hooks {
        std::function<bool()> ready;
        std::function<std::string()> metrics;
    };

    ReadyServer(const boost::asio::any_io_executor&, Hooks);

    std::error_code start(const Address&);

private:
    Hooks m_hooks;
    HttpListener m_listener;
};

} // namespace almondscale
