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
// Hosts of one data centre probe each other; a few links join the data centres. News about hosts and small
// versioned items that hosts share travel on the probes, and comparisons of all that is known mend what was
// lost. Not safe for use by several threads at once.
class Membership {
public:
    Membership(const MembershipSettings&, MembershipHooks);
    ~Membership();
    Membership(const Membership&) = delete;
    Membership& operator=(const Membership&) = delete;

    // Does what is due; call it every 50 ms or so.
    void tick();
    void onFrame(const std::string& bytes);

    // Replaces the addresses to try; the list may lag and proves nothing.
    void setSeeds(std::vector<SeedHost>);

    // Shares an item with the peers. Errors: LimitExceeded beyond the bounds per item or per host, BadRequest
    // for an empty key or value. Items for the own data centre are paced: in a large one the newest value of
    // each key waits for its turn.
    std::error_code publish(const std::string& key, const std::string& value, ItemScope);
    // Removes an item of this host at all peers.
    void retract(const std::string& key);
    // The newest known items of live hosts, own ones included, whose key begins with the prefix.
    std::vector<SharedItem> items(const std::string& keyPrefix) const;

    // Tells the peers which rules are in force here.
    void setRules(RulesVersion);

    // All known hosts, this one included.
    std::vector<Member> members() const;
    std::optional<Member> member(const HostId&) const;

    // Requests the content that a peer holds under the topic. `done` is called with the content or with
    // NotFound if the peer has none, PeerUnreachable if the peer is unknown or does not reply in time,
    // FrameInvalid if the reply is oversized, or LimitExceeded if too many requests are outstanding.
    void request(const HostId& peer, const std::string& topic, std::function<void(Result<std::string>)> done);
    // Replies to a peer's request; an empty content means that there is none under the topic.
    void reply(const PeerRequest&, const std::string& content);

    // Tells the peers that this host leaves. Ticks must go on for a while to spread it.
    void leave();

    const MembershipCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
