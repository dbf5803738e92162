#pragma once

#include "Admission/LimitMessage.h"
#include "Admission/LimitPeer.h"
#include "Admission/RateLimiterOptions.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace almondscale {

// Enforces a rate limit for each organisation across all hosts. Each host has a token bucket per
// organisation, whose rate is the host's share of the limit. Shares are equal until an organisation
// comes near its limit. Then its coordinator, a host chosen by rendezvous hashing, adjusts them to
// the demand. A share is raised only by what other hosts have confirmed to have released. Not
// thread-safe.
class DistributedRateLimiter {
public:
    // Returns the limit over all hosts in requests per second, or nothing if the organisation has
    // none.
    using LimitLookup = std::function<std::optional<double>(const Organisation&)>;

    DistributedRateLimiter(HostId self, LimitLookup, RateLimiterOptions = {});
    ~DistributedRateLimiter();
    DistributedRateLimiter(DistributedRateLimiter&&) noexcept;
    DistributedRateLimiter& operator=(DistributedRateLimiter&&) noexcept;

    // Sets the list of all hosts, including this one.
    void setPeers(const std::vector<LimitPeer>&);

    // Returns nothing if the request is admitted, otherwise the time at which the next one can be.
    std::optional<MonotonicTime> admit(const Organisation&, MonotonicTime now);

    // To be called about twice a second. Returns the messages to send to other hosts.
    std::vector<LimitMessage> tick(MonotonicTime now);
    void onMessage(const LimitMessage&, MonotonicTime now);

    double share(const Organisation&) const;
    // The number of organisations with a bucket at this host.
    std::size_t buckets() const;
    // The number of these about which this host exchanges messages with the coordinator.
    std::size_t exchanged() const;
    // The number of organisations that this host coordinates.
    std::size_t coordinated() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
