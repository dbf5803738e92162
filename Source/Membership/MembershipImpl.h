#pragma once

#include "Membership/Frame.h"
#include "Membership/GossipQueue.h"
#include "Membership/ItemTable.h"
#include "Membership/MemberTable.h"
#include "Membership/Membership.h"
#include "Membership/PeerRequests.h"
#include "Membership/ProbeOrder.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace almondscale {

// The implementation of the membership protocol, split over several source files by topic.
class Membership::Impl {
public:
    Impl(const MembershipSettings&, MembershipHooks);

    void tick();
    void onFrame(const std::string& bytes);
    void setSeeds(std::vector<SeedHost>);
    std::error_code publish(const std::string& key, const std::string& value, ItemScope);
    void retract(const std::string& key);
    std::vector<SharedItem> items(const std::string& keyPrefix) const;
    void setRules(RulesVersion);
    std::vector<Member> members() const;
    std::optional<Member> member(const HostId&) const;
    void leave();
    void request(const HostId& peer, const std::string& topic, PeerRequests::Done);
    void reply(const PeerRequest&, const std::string& content);
    const MembershipCounters& counters() const { return m_counters; }

private:
    // A ping whose ack is outstanding.
    struct Probe {
        HostId host;
        Address address;
        MonotonicTime sentAt;
        std::size_t retries = 0;
        bool indirectRequested = false;
        // False for probes of links and of seed hosts, whose failure proves nothing about the host.
        bool raisesSuspicion = false;
    };

    // A ping sent on behalf of another host.
    struct RelayedPing {
        Address requester;
        std::uint64_t requesterSequence = 0;
        HostId target;
        MonotonicTime expiresAt;
    };

    // Probes (MembershipProbes.cpp).
    void handlePause(MonotonicTime now);
    void expireProbes(MonotonicTime now);
    bool advanceProbe(std::uint64_t sequence, Probe&, MonotonicTime now);
    void requestIndirectProbes(std::uint64_t sequence, const Probe&);
    void suspect(const HostId&, MonotonicTime now);
    void expireSuspicions(MonotonicTime now);
    void probeNext(MonotonicTime now);
    void probeLinks(MonotonicTime now);
    void probeLink(const DataCentre&, MonotonicTime now);
    void rejoin(MonotonicTime now);
    void startProbe(const HostId&, const Address&, bool raisesSuspicion, MonotonicTime now);
    void sendPing(std::uint64_t sequence, const HostId&, const Address&, bool reconnect);
    void removeExpiredMembers(MonotonicTime now);

    // Frames (MembershipFrames.cpp).
    Frame makeFrame(FrameKind) const;
    void send(const Address&, const Frame&);
    void onPing(const Frame&, MonotonicTime now);
    void onAck(const Frame&, MonotonicTime now);
    void onPingRequest(const Frame&, MonotonicTime now);
    void applyGossip(const Frame&, MonotonicTime now);
    void mergeContacts(const Frame&, MonotonicTime now);
    void addContacts(Frame&, MonotonicTime now) const;
    void addGossip(Frame&, const DataCentre& to);
    bool addGossipEntry(Frame&, const GossipKey&, const DataCentre& to, std::size_t& bytes) const;
    void pushUrgent(MonotonicTime now);

    // Anti-entropy (MembershipDigests.cpp).
    void updateHashes(const HostId&);
    std::uint32_t hostHash(const HostId&, bool everywhereOnly) const;
    std::vector<HostDigest> digests(bool everywhereOnly) const;
    void compareViews(const Frame& ping, MonotonicTime now);
    void sendDigest(const MemberRecord& to, bool partial);
    void retainLocal(std::vector<HostDigest>&) const;
    void onDigest(const Frame&);
    void onState(const Frame&);
    void sendStates(const MemberRecord& to, const std::vector<HostId>&, std::vector<std::uint64_t> wanted);
    void addState(Frame&, const HostId&, const DataCentre& to) const;

    // Records and items (MembershipState.cpp).
    void applyRecord(const MemberRecord&, MonotonicTime now);
    void applyOwnRecord(const MemberRecord&);
    MemberRecord resolveAddressConflict(const MemberRecord&, MonotonicTime now);
    void declareDead(const MemberRecord&, MonotonicTime now);
    void applyItem(const SharedItem&);
    std::error_code publishItem(const std::string& key, const std::string& value, ItemScope);
    void publishPendingLocalItems(MonotonicTime now);
    void compactOwnItems();
    std::size_t ownTombstones() const;
    MemberRecord ownRecord() const;
    void announceSelf();
    Member memberOf(const MemberRecord&) const;
    bool reachable(const DataCentre&) const;
    void reportReachability(MonotonicTime now);
    void reportMember(const MemberRecord&) const;
    std::vector<HostId> liveHosts(const DataCentre&) const;
    std::vector<DataCentre> remoteDataCentres() const;
    std::size_t transmitLimit(const GossipKey&) const;
    void refillBudget(MonotonicTime now);
    bool spendBudget(std::size_t bytes);
    bool routineAllowed() const;

    MembershipSettings m_settings;
    MembershipHooks m_hooks;
    MembershipCounters m_counters;
    Incarnation m_incarnation;
    std::uint32_t m_refutation = 0;
    RulesVersion m_rules;
    bool m_leaving = false;
    std::uint64_t m_itemVersion = 0;
    std::uint64_t m_itemFloor = 0;

    MemberTable m_members;
    ItemTable m_items;
    // Items of scope DataCentre that wait for the next publication, by key.
    std::map<std::string, std::string> m_pendingLocalItems;
    GossipQueue m_gossip;
    ProbeOrder m_order;
    PeerRequests m_requests;
    std::vector<SeedHost> m_seeds;
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, RelayedPing> m_relayedPings;
    std::uint64_t m_sequence = 0;
    // When any host of this data centre last received an ack from each other data centre.
    std::map<DataCentre, MonotonicTime> m_contacts;
    // The reachability of each other data centre that was last reported.
    std::map<DataCentre, bool> m_reachable;

    // Hash of each live host by the hash of its name: over all its items, and over those of scope Everywhere.
    std::map<std::uint64_t, std::uint32_t> m_hashes;
    std::map<std::uint64_t, std::uint32_t> m_everywhereHashes;
    std::uint64_t m_view = 1;
    std::uint64_t m_everywhereView = 1;

    // Urgent gossip is waiting to be pushed.
    bool m_urgentPending = false;
    // Bytes that may be spent now; negative after an overdraft.
    long long m_budget = 0;
    MonotonicTime m_lastTick;
    MonotonicTime m_budgetAt;
    MonotonicTime m_nextProbe;
    MonotonicTime m_nextLinkProbe;
    MonotonicTime m_nextRejoin;
    MonotonicTime m_nextPush;
    MonotonicTime m_nextDigest;
    MonotonicTime m_nextLocalDigest;
    MonotonicTime m_nextLocalPublish;
    MonotonicTime m_nextMaintenance;
};

} // namespace almondscale
