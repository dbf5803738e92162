#pragma once

#include "Forwarding/BackendConnection.h"

#include <map>
#include <memory>
#include <vector>

namespace almondscale {

// Pool of idle connections, by server address. The most recently used connection is taken
// first, so that surplus connections expire.
class ConnectionPool {
public:
    explicit ConnectionPool(const boost::asio::any_io_executor&);

    // Takes an open idle connection out of the pool; null if there is none.
    std::unique_ptr<BackendConnection> take(const Address&);
    std::unique_ptr<BackendConnection> create(const Address&);
    // Returns a connection to the pool, or closes it if it is not reusable.
    void release(std::unique_ptr<BackendConnection>);
    // Adds a connection that has carried no request yet.
    void addUnused(std::unique_ptr<BackendConnection>);
    // Connections created here that are open, idle or not.
    std::size_t openCount() const;
    // Whether any idle connection to the address is open, or has been closed by the server.
    bool hasOpenIdle(const Address&);
    bool hasClosedIdle(const Address&);
    // Closes idle connections that have reached their idle deadline.
    void closeExpired();
    // Closes all idle connections to the address.
    void closeIdle(const Address&);

private:
    boost::asio::any_io_executor m_executor;
    // Each connection has a copy, which counts the open ones.
    std::shared_ptr<const void> m_token;
    std::map<Address, std::vector<std::unique_ptr<BackendConnection>>> m_idle;
};

} // namespace almondscale
