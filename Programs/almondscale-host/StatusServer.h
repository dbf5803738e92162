#pragma once

#include "Forwarding/HttpListener.h"

#include <functional>
#include <optional>
#include <string>

namespace almondscale {

// Answers the balancer whether this host takes callers, and serves pages to operators.
class StatusServer {
public:
    struct Hooks {
        // Without it, a path that is no page is not found.
        std::function<bool()> ready;
        std::function<std::string()> metrics;
        // The page of the path as JSON, if there is one.
        std::function<std::optional<std::string>(const std::string& path)> page;
    };

    StatusServer(const boost::asio::any_io_executor&, Hooks);

    std::error_code start(const Address&);

private:
    Hooks m_hooks;
    HttpListener m_listener;
};

} // namespace almondscale
