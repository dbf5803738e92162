#pragma once

#include "Core/Result.h"
#include "Core/RulesVersion.h"
#include "Membership/FrameKeys.h"
#include "Membership/ItemScope.h"
#include "Membership/Member.h"
#include "Membership/MembershipCounters.h"
#include "Membership/MembershipObservers.h"
#include "Membership/MembershipServiceSettings.h"
#include "Membership/SeedHost.h"
#include "Membership/SharedItem.h"
#include "Membership/TransportCounters.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace almondscale {

// The membership of this host over TCP: the protocol, its threads and its port. Safe for use by several
// threads.
class MembershipService {
public:
    MembershipService(const MembershipServiceSettings&, MembershipObservers);
    // Stops the service.
    ~MembershipService();
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    // Errors: SettingsInvalid if a key is too short or the address cannot be listened on; the log says which.
    std::error_code start();
    // Ends all threads; the host does not say that it leaves.
    void stop();
    // Says that this host leaves and gives the news a moment to spread. The service still runs afterwards.
    void leave();

    // Replaces the keys without a restart. Errors: SettingsInvalid if a key is too short; the former keys
    // stay.
    std::error_code setKeys(const FrameKeys&);
    // Replaces the addresses to try, from the platform's lagging list.
    void setSeeds(std::vector<SeedHost>);

    // Shares an item with the peers. Errors: LimitExceeded, BadRequest.
    std::error_code publish(const std::string& key, const std::string& value, ItemScope);
    void retract(const std::string& key);
    // The newest known items of live hosts, own ones included, whose key begins with the prefix.
    std::vector<SharedItem> items(const std::string& keyPrefix) const;
    // Tells the peers which rules are in force here.
    void setRules(RulesVersion);

    // Requests the content that the peer's MembershipObservers::handleRequest returns for the topic, such as
    // its rules. `done` is called from the service's own thread with the content, NotFound, PeerUnreachable,
    // FrameInvalid or LimitExceeded.
    void request(const HostId& peer, const std::string& topic, std::function<void(Result<std::string>)> done);

    // All known hosts, this one included.
    std::vector<Member> members() const;
    std::optional<Member> member(const HostId&) const;
    MembershipCounters counters() const;
    const TransportCounters& transportCounters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
