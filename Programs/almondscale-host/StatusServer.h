#pragma once

#include "Forwarding/HttpListener.h"

#include <functional>
#include <optional>
#include <string>

namespace almondscale {

// Serves the load balancer's readiness check, the metrics and the status pages.
class StatusServer {
public:
    struct Hooks {
        // Gives 200 or 503 on every path without a page; if it is empty, such a path gives 404.
        std::function<bool()> ready;
        std::function<std::string()> metrics;
        // The JSON page at the path, if there is one.
        std::function<std::optional<std::string>(const std::string& path)> page;
    };

    StatusServer(const boost::asio::any_io_executor&, Hooks);

    std::error_code start(const Address&);

private:
    Hooks m_hooks;
    HttpListener m_listener;
};

} // namespace almondscale
