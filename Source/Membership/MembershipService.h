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

// The membership protocol of this host over TCP, with its threads and its port. Thread-safe.
class MembershipService {
public:
    MembershipService(const MembershipServiceSettings&, MembershipObservers);
    // Stops the service.
    ~MembershipService();
    MembershipService(const MembershipService&) = delete;
    MembershipService& operator=(const MembershipService&) = delete;

    // Errors: SettingsInvalid if a key is too short or listening on the address fails; the log tells which.
    std::error_code start();
    // Stops all threads without announcing that the host leaves.
    void stop();
    // Announces that this host leaves and blocks for about 600 ms while the announcement propagates. The
    // service keeps running.
    void leave();

    // Replaces the keys without a restart. Errors: SettingsInvalid if a key is too short; the previous keys
    // stay in force.
    std::error_code setKeys(const FrameKeys&);
    // Replaces the list of hosts to contact, taken from the platform's list, which may be outdated.
    void setSeeds(std::vector<SeedHost>);

    // Shares an item with the peers. Errors: LimitExceeded, BadRequest; see Membership::publish().
    std::error_code publish(const std::string& key, const std::string& value, ItemScope);
    void retract(const std::string& key);
    // The newest known items of live hosts, including this one, whose key starts with the prefix.
    std::vector<SharedItem> items(const std::string& keyPrefix) const;
    // Announces the rules version in force here.
    void setRules(RulesVersion);

    // Requests the content that the peer's MembershipObservers::handleRequest returns for the topic, such as
    // its rules. `done` is called from the service's own thread with the content, NotFound, PeerUnreachable,
    // FrameInvalid or LimitExceeded.
    void request(const HostId& peer, const std::string& topic, std::function<void(Result<std::string>)> done);

    // All known hosts, including this one.
    std::vector<Member> members() const;
    std::optional<Member> member(const HostId&) const;
    MembershipCounters counters() const;
    const TransportCounters& transportCounters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
