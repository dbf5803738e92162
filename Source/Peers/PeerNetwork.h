#pragma once

#include "Forwarding/Asio.h"
#include "Peers/PeerFrame.h"
#include "Serving/CrashRecords.h"
#include "Serving/HostRecord.h"
#include "Serving/ManifestProof.h"
#include "Serving/RowMirror.h"
#include "Serving/ServerSpeeds.h"

#include <functional>
#include <memory>
#include <optional>

namespace almondscale {

// Connects the entry hosts: each host to the strongest one of its data centre, the reader, and the readers to
// each other. Readers read the store for all hosts. Table changes, open loads, crash records, announced
// shutdowns, role transitions and limits of servers are passed on over the links. A host that has no reader,
// or whose reader is behind, reads the store itself. Not thread-safe; runs on the executor.
class PeerNetwork {
public:
    struct Hooks {
        // The open load of this host alone.
        std::function<PeerWork()> localWork;
        // Called with the sum of the loads that all other hosts reported, which replaces the last one.
        std::function<void(const PeerWork&)> onRemoteWork;
        // Servers that announced their shutdown after the position; advances the position to the end.
        std::function<std::vector<BackendLifetime>(std::size_t& position)> leavingSince = {};
        // Records such a server; returns whether this was unknown.
        std::function<bool(const BackendLifetime&)> onLeaving = {};
        // The same for engines that are changing their role.
        std::function<std::vector<RoleTransition>(std::size_t& position)> roleTransitionsSince = {};
        std::function<bool(const RoleTransition&)> onRoleTransition = {};
        // Limits of servers that changed after the version, at most so many; advances the version.
        std::function<std::vector<LimitStatement>(std::uint64_t& version, std::size_t maxCount)> limitsSince
            = {};
        std::function<bool(const LimitStatement&)> onLimit = {};
        // Whether hosts prove to each other how old their manifests are.
        std::function<bool()> exchangesProofs = {};
        // The latest proof of this host, and one that another host gave.
        std::function<std::optional<ManifestProof>()> manifestProof = {};
        std::function<void(const ManifestProof&)> onManifestProof = {};
        // This host's records of usage that changed after the version, for its reader, or for the host that
        // would be the next reader; advances the version.
        std::function<std::vector<UsageRecord>(std::uint64_t& version)> usageSince = {};
        // A record of a host that has this one as its reader, or of the reader itself.
        std::function<void(const UsageRecord&)> onUsage = {};
        // Records of the hosts that were stored after the position; advances the position to the end.
        std::function<std::vector<UsageRecordId>(const std::set<HostId>&, std::uint64_t& position)>
            storedUsageSince = {};
        // The reader has stored a record that this host keeps.
        std::function<void(const UsageRecordId&)> onStoredUsage = {};
        // The last report of usage that any host may have sent, as far as this host knows.
        std::function<std::optional<SentReport>()> usageSent = {};
        // The last one of which another host knows; returns whether it is later.
        std::function<bool(const SentReport&)> onUsageSent = {};
        // The samples of servers' speeds of this host alone.
        std::function<ServerSpeeds::Sums()> localSpeeds = {};
        // Called with the samples of all other hosts, which replace the last ones.
        std::function<void(ServerSpeeds::Sums)> onRemoteSpeeds = {};
        // The text of the manifest in force, if the store came back with an older one; null otherwise.
        std::function<std::shared_ptr<const std::string>()> manifest = {};
        // The text of one that another host has in force; returns whether it is newer than this host's.
        std::function<bool(const std::string&)> onManifest = {};
    };

    // The seeds are peer addresses of other hosts, used until the table of hosts is known. They may be stale.
    PeerNetwork(const boost::asio::any_io_executor&, HostRecord self, std::vector<Address> seeds, RowMirror&,
        CrashRecords&, Hooks);
    ~PeerNetwork();

    // Listens on the peer address of this host; returns the error if that fails.
    std::error_code start();
    // Keeps up the links; does not return.
    awaitable<void> run();

    // Replaces the known hosts by those of the table of hosts; this host is always included.
    void setHosts(std::vector<HostRecord>);
    // At least 1.
    int hostCount() const;
    void setSeeds(std::vector<Address>);
    // Whether this host reads the store for its data centre.
    bool isReader() const;
    // Whether this host has no link to any host of some other data centre.
    bool lacksDataCentre() const;
    // Whether any host has sent a frame over a link that is open.
    bool hasHeardHost() const;
    // Whether this host has links by which it learns what any other host has told: to the reader of each data
    // centre, or to its own reader.
    bool hearsHosts() const;
    // Whether all hosts with a link have stated that they know of the report of usage of this window.
    bool othersKnowUsageSent(UsageWindow) const;
    // Sends a frame on every link at once, because the state of this host changed.
    void publish();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
