#pragma once

#include "Admission/LimitMessage.h"
#include "Admission/LimitPeer.h"
#include "Admission/RateLimiterOptions.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace almondscale {

// One host's part in the limits per organisation over all hosts: a token bucket
// for each organisation, whose rate is the host's share of the limit. Shares are
// equal until an organisation comes near its limit; then its coordinator, a host that
// all agree on, lets them follow the demand. A share is raised only by what other
// hosts have confirmed to have given up. Not thread-safe.
class DistributedRateLimiter {
public:
    // Requests per second over all hosts; nothing if the organisation has no limit.
    using LimitLookup = std::function<std::optional<double>(const Organisation&)>;

    DistributedRateLimiter(HostId self, LimitLookup, RateLimiterOptions = {});
    ~DistributedRateLimiter();
    DistributedRateLimiter(DistributedRateLimiter&&) noexcept;
    DistributedRateLimiter& operator=(DistributedRateLimiter&&) noexcept;

    // All hosts, this one included.
    void setPeers(const std::vector<LimitPeer>&);

    // Nothing if the request may pass; otherwise when the next one may.
    std::optional<MonotonicTime> admit(const Organisation&, MonotonicTime now);

    // To be called about twice a second; the messages are to be sent.
    std::vector<LimitMessage> tick(MonotonicTime now);
    void onMessage(const LimitMessage&, MonotonicTime now);

    double share(const Organisation&) const;
    // The organisations with a bucket at this host.
    std::size_t buckets() const;
    // Those of them that are exchanged with the coordinator.
    std::size_t exchanged() const;
    // The organisations that this host is the coordinator of.
    std::size_t coordinated() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
