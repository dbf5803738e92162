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

// This host's rank among the live hosts of its data centre, as seen by the membership.
struct DataCentreRank {
    // The number of live hosts, including this one.
    std::size_t hosts = 1;
    // The number of live hosts with a lower id than this one.
    std::size_t rank = 0;
};

// Callbacks of a RulesReplica. They must not block.
struct RulesReplicaHooks {
    // Requests the rules of a peer; completes with onPulled or onPullFailed.
    std::function<void(const HostId& peer)> pullFromPeer;
    // Reads rules newer than `known` from the platform; completes with onPlatformRules or
    // onPlatformUnavailable.
    std::function<void(RulesVersion known)> readPlatform;
    std::function<DataCentreRank()> dataCentreRank;
    // Called for each version that takes effect at this host.
    std::function<void(const std::shared_ptr<const RuleSet>&)> adopted;
    RandomSource random;
};

// The copy of the rules at one host, updated from peers and from the platform. It adopts only higher
// versions, and only versions that this host, or the peer that sent them, got from the table's head.
// Not thread-safe.
class RulesReplica {
public:
    explicit RulesReplica(RulesReplicaHooks);
    ~RulesReplica();
    RulesReplica(const RulesReplica&) = delete;
    RulesReplica& operator=(const RulesReplica&) = delete;

    // Starts due reads and pulls and handles timeouts. Must be called at least every 100 ms.
    void tick(MonotonicTime now);

    // Handles the rules version in a peer's heartbeat.
    void onPeerVersion(MonotonicTime now, const HostId& peer, RulesVersion);
    void onPeerGone(const HostId&);

    void onPulled(MonotonicTime now, const HostId& peer, const RulesChange&);
    void onPullFailed(MonotonicTime now, const HostId& peer);

    // The change is empty if the platform has no newer version.
    void onPlatformRules(MonotonicTime now, const std::optional<RulesChange>&);
    void onPlatformUnavailable(MonotonicTime now);

    // Null until the first rules are adopted; the host serves no requests until then.
    std::shared_ptr<const RuleSet> rules() const;
    RulesVersion version() const;
    // The change in force, sent to peers that pull.
    std::optional<RulesChange> change() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
