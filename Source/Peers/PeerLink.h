#pragma once

#include "Forwarding/Asio.h"
#include "Peers/PeerFrame.h"

#include <functional>
#include <memory>

namespace almondscale {

// One connection to another host. Frames go out when there is something to say,
// one at a time, so that a host that does not read holds nobody up.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Hooks {
        // The frame to send now, and whether it is to be a whole one.
        std::function<PeerFrame(PeerLink&, bool whole)> makeFrame;
        std::function<void(PeerLink&, const PeerFrame&)> onFrame;
        std::function<void(PeerLink&)> onClosed;
        // How many links share this host's bytes.
        std::function<std::size_t()> links;
    };

    // Whether this host made the connection.
    PeerLink(tcp::socket, bool initiated, Hooks);
    ~PeerLink();

    void start();
    // Sends a frame soon.
    void wake();
    void close();
    bool open() const;

    bool initiated() const;
    // Known after the first frame.
    const HostId& host() const;
    const DataCentre& dataCentre() const;
    const PeerWork& work() const;
    // The version of a table up to which the other host has it from here, or said to have it.
    RowVersion known(SharedTable) const;
    void setKnown(SharedTable, RowVersion);
    // The version of the crash records up to which they were told over the link.
    std::uint64_t& crashesTold();
    // How many of the servers that leave were told over the link.
    std::size_t& leavingTold();
    // The same for engines that change their role.
    std::size_t& turnsTold();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
