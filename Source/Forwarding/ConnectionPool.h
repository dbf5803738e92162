#pragma once

#include "Forwarding/BackendConnection.h"

#include <map>
#include <memory>
#include <vector>

namespace almondscale {

// Idle connections, by the address of their server. The one used last is taken
// first, so that few stay open.
class ConnectionPool {
public:
    explicit ConnectionPool(const boost::asio::any_io_executor&);

    // An idle connection that is still open, or null.
    std::unique_ptr<BackendConnection> take(const Address&);
    std::unique_ptr<BackendConnection> create(const Address&);
    // Keeps the connection for the next request if its server does.
    void release(std::unique_ptr<BackendConnection>);
    // Keeps a connection that has carried no request yet.
    void addUnused(std::unique_ptr<BackendConnection>);
    // Whether the server holds an idle connection open, and whether it has closed one.
    bool hasOpenIdle(const Address&);
    bool hasClosedIdle(const Address&);
    // Closes the idle connections that their servers are about to close.
    void closeExpired();
    // Closes the idle connections of a server that is gone.
    void closeIdle(const Address&);

private:
    boost::asio::any_io_executor m_executor;
    std::map<Address, std::vector<std::unique_ptr<BackendConnection>>> m_idle;
};

} // namespace almondscale
