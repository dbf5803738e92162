#pragma once

#include "Serving/BackendLifetime.h"

#include <utility>

namespace almondscale {

// The right to send one request to a server. Only BackendTable issues permits, and a BackendCall cannot be
// made without one, so that every request that is sent has been counted against the limit of its server.
class SendPermit {
public:
    SendPermit(SendPermit&&) = default;
    SendPermit& operator=(SendPermit&&) = default;
    SendPermit(const SendPermit&) = delete;
    SendPermit& operator=(const SendPermit&) = delete;

    const BackendLifetime& server() const { return m_server; }
    // Whether the request has been counted against a limit.
    bool counted() const { return m_counted; }

private:
    friend class BackendTable;

    SendPermit(BackendLifetime server, bool counted)
        : m_server(std::move(server))
        , m_counted(counted)
    {
    }

    BackendLifetime m_server;
    bool m_counted;
};

} // namespace almondscale
