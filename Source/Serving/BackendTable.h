#pragma once

#include "Core/Deadline.h"
#include "Serving/Backend.h"
#include "Serving/BackendLifetime.h"
#include "Serving/BackendOutcome.h"
#include "Serving/LeavingNotice.h"
#include "Serving/RoleTransition.h"
#include "Serving/SendPermit.h"
#include "Serving/SentPrefix.h"
#include "Serving/ServerLimits.h"
#include "Serving/UpdateLog.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace almondscale {

// The registered backend servers, with the outstanding work of this host and its peers at each of them. Not
// thread-safe.
class BackendTable {
public:
    // Outstanding work by the hash of the server's id.
    using Loads = std::unordered_map<std::uint64_t, BackendLoad>;

    // The random numbers divide the limits of servers between hosts.
    explicit BackendTable(RandomSource = seededRandom(1));

    // Adds or updates a server. Health and history are reset if it restarted or its address changed.
    void put(const BackendRecord&);
    void remove(const BackendId&);

    const Backend* find(const BackendId&) const;
    const std::map<BackendId, Backend>& all() const { return m_backends; }
    // The servers of the service, and of the role if given, that may get new work now and have room within
    // their limits. Ejected servers are returned only if there are no others, and unreachable servers never
    // before their next probe: a request that only they could serve is better refused at once.
    std::vector<const Backend*> usable(
        const ServiceName&, MonotonicTime now, std::optional<EngineRole> = std::nullopt) const;

    // Whether the server announced its shutdown, in its registration or in a response.
    bool isLeaving(const Backend&) const;
    // Whether the server takes new work: it is not shutting down, not changing its role, and not in a backoff
    // that it asked for.
    bool maySendTo(const Backend&, MonotonicTime now) const;
    bool maySendTo(const BackendId&, MonotonicTime now) const;
    // Permits one request to the server and counts it against the server's limit; none if the server takes no
    // new work or its limit is reached.
    std::optional<SendPermit> admit(const BackendId&, MonotonicTime now);
    // Called when the request is sent: counts it if the server has named its limit since the permit was
    // issued.
    void onSend(SendPermit&, MonotonicTime now);
    // The permitted request was not sent.
    void giveBack(SendPermit, MonotonicTime now);
    // The rate at which this host may send to the servers of the service, and of the role if given, that have
    // reached their limits; unset if there are none.
    std::optional<RequestRate> limitedRate(
        const ServiceName&, MonotonicTime now, std::optional<EngineRole> = std::nullopt) const;
    ServerLimits& limits() { return m_limits; }
    const ServerLimits& limits() const { return m_limits; }
    // The server announced in a response that it is shutting down. Returns whether this was unknown. No later
    // registration of the same lifetime revokes it.
    bool noteLeaving(const BackendLifetime&, const LeavingNotice&);
    // Where the shutdown notice came from, if the server sent one in a response.
    std::optional<LeavingNotice> leavingNotice(const BackendId&) const;
    // The server asked this host to send nothing until then. Returns whether this extends the known backoff.
    bool noteBackoff(const BackendLifetime&, Deadline until, MonotonicTime now);
    Deadline backoffUntil(const BackendId&) const;
    // The time at which the first backoff of a server of the service ends; unset if none is active.
    std::optional<Deadline> earliestBackoffEnd(const ServiceName&, MonotonicTime now) const;
    // Servers that announced their shutdown after the given position, in the order in which this host learned
    // of it. Advances the position to the end.
    std::vector<BackendLifetime> leavingSince(std::size_t& position) const;

    // An engine is changing its role. Returns whether this was unknown.
    bool noteRoleTransition(const RoleTransition&, MonotonicTime now);
    // Role transitions after the given position, in the order in which this host learned of them. Advances
    // the position to the end.
    std::vector<RoleTransition> roleTransitionsSince(std::size_t& position) const;

    void open(const BackendId&, const BackendLoad&);
    void close(const BackendId&, const BackendLoad&);
    // An attempt begins. The first attempt after an ejection is a probe: no other is sent until its outcome
    // is known, so that a server that is still down costs one attempt at a time.
    void noteAttempt(const BackendId&, MonotonicTime now);
    void noteOutcome(const BackendId&, BackendOutcome, MonotonicTime now);
    // Updates the slowness from the measured time of an attempt and the time expected of the server.
    void noteSpeed(const BackendId&, Nanoseconds taken, Nanoseconds expected);
    void setFactors(const BackendId&, const ServerFactors&);
    // The number of consecutive attempts at servers of the data centre that failed to connect.
    int consecutiveConnectFailures(const DataCentre&) const;
    // The prefix was sent to the server, which caches it.
    void noteSentPrefix(const BackendId&, std::uint64_t prefix, MonotonicTime now);
    // Forgets prefixes that were last sent before this time.
    void forgetPrefixesBefore(MonotonicTime);

    // The load that this host reports to its peers.
    Loads localLoads() const;
    // Prefixes recently sent by this host. Each is announced for half a second, and again after some seconds
    // if it is still being sent.
    std::set<SentPrefix> recentlySentPrefixes(MonotonicTime now);
    // Replaces the load reported by all other hosts.
    void setRemoteLoads(const Loads&);
    // Prefixes recently sent by other hosts.
    void noteRemotePrefixes(const std::set<SentPrefix>&, MonotonicTime now);

private:
    struct AnnouncedPrefix {
        SentPrefix prefix;
        MonotonicTime at {};
    };

    std::map<BackendId, Backend> m_backends;
    // Looking for a server with room draws its share of the limit.
    mutable ServerLimits m_limits;
    // Servers that announced their shutdown. Kept after the registration is gone, because the registration
    // may expire and reappear.
    std::map<BackendLifetime, LeavingNotice> m_leaving;
    UpdateLog<BackendLifetime> m_leavingLog;
    std::map<BackendLifetime, Deadline> m_backoffs;
    std::map<BackendLifetime, RoleTransition> m_roleTransitions;
    UpdateLog<RoleTransition> m_roleTransitionLog;
    std::map<DataCentre, int> m_consecutiveConnectFailures;
    // In chronological order.
    std::deque<AnnouncedPrefix> m_announcedPrefixes;
};

} // namespace almondscale
