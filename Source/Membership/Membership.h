#pragma once

#include "Core/Result.h"
#include "Core/RulesVersion.h"
#include "Membership/ItemScope.h"
#include "Membership/Member.h"
#include "Membership/MembershipCounters.h"
#include "Membership/MembershipHooks.h"
#include "Membership/MembershipSettings.h"
#include "Membership/SeedHost.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace almondscale {

// The membership protocol of one host, without threads or sockets.
//
// Hosts of one data centre probe each other as in SWIM; a few links connect the data centres. Membership
// records and small versioned items are gossiped on the probes. Anti-entropy repairs what gossip missed:
// pings carry a hash of the sender's view, and hosts whose views differ exchange digests. Not thread-safe.
class Membership {
public:
    Membership(const MembershipSettings&, MembershipHooks);
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    // Runs the timers; call it about every 50 ms.
    void tick();
    // Handles a frame from a peer; invalid frames are counted and dropped.
    void onFrame(const std::string& bytes);

    // Replaces the list of hosts to contact. The list may be outdated; being listed does not make a host a
    // member.
    void setSeeds(std::vector<SeedHost>);

    // Shares an item with the peers. Errors: LimitExceeded if a limit per item or per host is exceeded,
    // BadRequest for an empty key or value. Items of scope DataCentre are rate-limited: the newest value of
    // each key is kept until the next publication, and a value that then exceeds a limit per host is dropped
    // and counted in entriesRejected.
    std::error_code publish(const std::string& key, const std::string& value, ItemScope);
    // Removes an item of this host from all peers.
    void retract(const std::string& key);
    // The newest known items of live hosts, including this one, whose key starts with the prefix.
    std::vector<SharedItem> items(const std::string& keyPrefix) const;

    // Announces the rules version in force here. A version that is not higher than the current one is
    // ignored.
    void setRules(RulesVersion);

    // All known hosts, including this one.
    std::vector<Member> members() const;
    std::optional<Member> member(const HostId&) const;

    // Requests the content that a peer holds under the topic. `done` is called with the content or with
    // NotFound if the peer has none, PeerUnreachable if the peer is unknown or does not reply in time,
    // FrameInvalid if the reply is oversized, or LimitExceeded if too many requests are outstanding. For an
    // unknown peer or too many requests it is called before request() returns.
    void request(const HostId& peer, const std::string& topic, std::function<void(Result<std::string>)> done);
    // Replies to a peer's request; an empty content means that there is none under the topic.
    void reply(const PeerRequest&, const std::string& content);

    // Announces that this host leaves. Keep calling tick() for several push intervals to propagate it.
    void leave();

    const MembershipCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
