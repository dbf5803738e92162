#pragma once

#include "Forwarding/Asio.h"
#include "Peers/PeerFrame.h"
#include "Serving/CrashRecords.h"
#include "Serving/HostRecord.h"
#include "Serving/RowMirror.h"

#include <functional>
#include <memory>

namespace almondscale {

// Connects the entry hosts as a tree: the hosts of a data centre to its strongest
// one, and these strongest ones, the readers, to each other. The readers read the
// store for all; what is new, the open work and the records of servers that ended
// under requests pass along the links. Who has no
// reader, or whose reader is behind, reads for itself.
class PeerNetwork {
public:
    struct Hooks {
        // The open work of this host alone.
        std::function<PeerWork()> ownWork;
        // The open work of all other hosts, as far as it is heard.
        std::function<void(const PeerWork&)> onOthersWork;
        // Servers that said that they leave, from the position on, which is set to the end.
        std::function<std::vector<BackendLifetime>(std::size_t& position)> leavingSince = {};
        // Takes over such a server; whether it is news.
        std::function<bool(const BackendLifetime&)> onLeaving = {};
        // The same for engines that change their role.
        std::function<std::vector<RoleTransition>(std::size_t& position)> turnsSince = {};
        std::function<bool(const RoleTransition&)> onTurn = {};
    };

    // The seeds are addresses of other hosts that may be stale.
    PeerNetwork(const boost::asio::any_io_executor&, HostRecord self, std::vector<Address> seeds, RowMirror&,
        CrashRecords&, Hooks);
    ~PeerNetwork();

    std::error_code start();
    awaitable<void> run();

    // The hosts as the table of hosts tells; this host always counts.
    void setHosts(std::vector<HostRecord>);
    int hostCount() const;
    void setSeeds(std::vector<Address>);
    // This host reads the store for its data centre.
    bool reader() const;
    // News came that the others may lack.
    void publish();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
