#pragma once

#include "Core/Deadline.h"
#include "Serving/Backend.h"
#include "Serving/BackendLifetime.h"
#include "Serving/BackendOutcome.h"
#include "Serving/LeavingNotice.h"
#include "Serving/RoleTransition.h"
#include "Serving/SentPrefix.h"
#include "Serving/UpdateLog.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace almondscale {

// The backend servers that registered, with the work that this host and its
// peers have open at each. Not thread-safe.
class BackendTable {
public:
    // Open work by the hash of the server's name.
    using Loads = std::unordered_map<std::uint64_t, BackendLoad>;

    // A server that started anew under its id or address begins without history.
    void put(const BackendRecord&);
    void remove(const BackendId&);

    const Backend* find(const BackendId&) const;
    const std::map<BackendId, Backend>& all() const { return m_backends; }
    // The servers of the service, and of the role if there is one, that may get new
    // work now. Those that broke count only if there are no others, and those that
    // cannot be reached not at all before their next trial: a request that only they
    // could serve is better refused at once.
    std::vector<const Backend*> usable(
        const ServiceName&, MonotonicTime now, std::optional<EngineRole> = std::nullopt) const;

    // By its registration or its own word.
    bool isLeaving(const Backend&) const;
    // Whether the server may be sent new work: it is not leaving or changing its role, and has
    // not asked for a pause that lasts.
    bool maySendTo(const Backend&, MonotonicTime now) const;
    bool maySendTo(const BackendId&, MonotonicTime now) const;
    // The server said in an answer that it leaves; whether that is news. No registration
    // takes it back for this lifetime.
    bool noteLeaving(const BackendLifetime&, const LeavingNotice&);
    // Whose word it is that the server leaves, if it has said so itself.
    std::optional<LeavingNotice> leavingNotice(const BackendId&) const;
    // The server wants nothing from this host until then, at least. Whether it is news.
    bool noteBackoff(const BackendLifetime&, Deadline until, MonotonicTime now);
    Deadline backoffUntil(const BackendId&) const;
    // When the first barred server of the service is free again, if any is barred now.
    std::optional<Deadline> earliestBackoffEnd(const ServiceName&, MonotonicTime now) const;
    // Servers that said that they leave, in the order in which this host heard of it; sets
    // the position to the end.
    std::vector<BackendLifetime> leavingSince(std::size_t& position) const;

    // An engine changes its role; whether it is news.
    bool noteRoleTransition(const RoleTransition&, MonotonicTime now);
    // Such engines in the order in which this host heard of them; sets the position to the end.
    std::vector<RoleTransition> roleTransitionsSince(std::size_t& position) const;

    void open(const BackendId&, const BackendLoad&);
    void close(const BackendId&, const BackendLoad&);
    // An attempt begins. The first one at a server that broke is a trial: others wait for
    // its outcome, so that a server that is still away costs one attempt at a time.
    void noteAttempt(const BackendId&, MonotonicTime now);
    void noteOutcome(const BackendId&, BackendOutcome, MonotonicTime now);
    // What an attempt took against what was expected of an ordinary server.
    void noteSpeed(const BackendId&, Nanoseconds taken, Nanoseconds expected);
    // Attempts at servers of the data centre, one after the other, that found no connection.
    int consecutiveConnectFailures(const DataCentre&) const;
    // The part was sent to the server, which keeps it.
    void noteSentPrefix(const BackendId&, std::uint64_t prefix, MonotonicTime now);
    // Forgets the parts that were last sent before.
    void forgetPrefixesBefore(MonotonicTime);

    // What this host tells its peers.
    Loads localLoads() const;
    // Parts that this host sent just now; each is told for half a second, and again
    // after some seconds if it is sent again.
    std::set<SentPrefix> recentlySentPrefixes(MonotonicTime now);
    // Replaces what was known of the open work of all other hosts.
    void setRemoteLoads(const Loads&);
    // Parts that other hosts sent just now.
    void noteRemotePrefixes(const std::set<SentPrefix>&, MonotonicTime now);

private:
    struct AnnouncedPrefix {
        SentPrefix prefix;
        MonotonicTime at {};
    };

    std::map<BackendId, Backend> m_backends;
    // Servers that said that they leave. A lifetime is not forgotten with its registration,
    // which may lapse and come back.
    std::map<BackendLifetime, LeavingNotice> m_leaving;
    UpdateLog<BackendLifetime> m_leavingLog;
    std::map<BackendLifetime, Deadline> m_backoffs;
    std::map<BackendLifetime, RoleTransition> m_roleTransitions;
    UpdateLog<RoleTransition> m_roleTransitionLog;
    std::map<DataCentre, int> m_consecutiveConnectFailures;
    // In the order of time.
    std::deque<AnnouncedPrefix> m_announcedPrefixes;
};

} // namespace almondscale
