#pragma once

#include "Core/HostId.h"
#include "Core/MonotonicTime.h"
#include "Core/RandomSource.h"
#include "Rules/RuleSet.h"
#include "Rules/RulesChange.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace almondscale {

// What the membership tells about this host's place in its data centre.
struct DataCentreRank {
    // The live hosts of the data centre, with this one.
    std::size_t hosts = 1;
    // How many of them have a lower id than this one.
    std::size_t rank = 0;
};

// The calls of a keeper to the world. Each starts something and returns at once.
struct RulesReplicaHooks {
    // Asks a peer for its rules; ends in onPulled or onPullFailed.
    std::function<void(const HostId& peer)> pullFromPeer;
    // Reads the newest rules after a version; ends in onPlatformRules or onPlatformUnavailable.
    std::function<void(RulesVersion known)> readPlatform;
    std::function<DataCentreRank()> dataCentreRank;
    // Called with each version that comes into force at this host.
    std::function<void(const std::shared_ptr<const RuleSet>&)> adopted;
    RandomSource random;
};

// Keeps the rules in force at one host: adopts only a higher version, and only
// one that the table's head named to this host or to the peer it came from.
class RulesReplica {
public:
    explicit RulesReplica(RulesReplicaHooks);
    ~RulesReplica();
    RulesReplica(const RulesReplica&) = delete;
    RulesReplica& operator=(const RulesReplica&) = delete;

    // Starts what is due; call it at least every 100 ms.
    void tick(MonotonicTime now);

    // A heartbeat told the version in force at a peer.
    void onPeerVersion(MonotonicTime now, const HostId& peer, RulesVersion);
    void onPeerGone(const HostId&);

    void onPulled(MonotonicTime now, const HostId& peer, const RulesChange&);
    void onPullFailed(MonotonicTime now, const HostId& peer);

    // The platform answered: with a newer version, or with nothing if there is none.
    void onPlatformRules(MonotonicTime now, const std::optional<RulesChange>&);
    void onPlatformUnavailable(MonotonicTime now);

    // Nothing before the host holds rules; it serves nothing until then.
    std::shared_ptr<const RuleSet> rules() const;
    RulesVersion version() const;
    // The change in force, to be handed to a peer that pulls.
    std::optional<RulesChange> change() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
