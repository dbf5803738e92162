#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace almondscale::standin {

// The open connections of a stand-in, some of which have gone silent for good.
class ConnectionBook {
public:
    void add(const std::string& connection, int socket);
    void remove(const std::string& connection);

    // From now on no byte passes on the connections that are open, but for one.
    void silenceAllBut(const std::string& connection);
    bool silent(const std::string& connection) const;
    // Blocks while the peer of a silent connection keeps it open and the book is open.
    void holdSilent(const std::string& connection, int socket);

    // Ends all connections, and those that are added before the book is reopened, so that the threads which
    // serve them become free.
    void close();
    void reopen();

private:
    bool closed() const;

    mutable std::mutex m_mutex;
    std::map<std::string, int> m_open;
    std::set<std::string> m_silent;
    bool m_closed = false;
};

} // namespace almondscale::standin
