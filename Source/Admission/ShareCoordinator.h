#pragma once

#include "Admission/LimitMessage.h"
#include "Admission/LimitPeer.h"
#include "Admission/RateLimiterOptions.h"

#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// The coordinator's state for one organisation near its limit: the share that each host may be
// using and the share it should use. Shares and demand are in requests per second.
class ShareCoordinator {
public:
    ShareCoordinator(Organisation, MonotonicTime now);

    void onReport(const LimitMessage&, MonotonicTime now);
    // Returns the messages that adjust the shares to the demand.
    std::vector<LimitMessage> tick(const HostId& self, const std::vector<LimitPeer>&, double limit,
        const RateLimiterOptions&, MonotonicTime now);
    // Whether this object can be discarded: all shares are equal and the hosts were told so, or no
    // host has reported for the loan expiry time.
    bool released() const { return m_released; }

private:
    struct Member {
        bool known = false;
        double demand = 0;
        // The share last reported as in use, and the share last granted.
        double used = 0;
        double granted = 0;
        std::uint64_t sequence = 0;
        bool confirmed = true;
        std::optional<MonotonicTime> sentAt;

        double committed() const { return used > granted ? used : granted; }
    };

    std::vector<LimitMessage> sendLoans(const HostId& self, const RateLimiterOptions&, MonotonicTime now);
    double totalDemand() const;
    void removeAbsent(const std::vector<LimitPeer>&);
    std::map<HostId, double> targets(
        const std::vector<LimitPeer>&, double limit, const RateLimiterOptions&) const;
    void lowerShares(const std::map<HostId, double>& targets, double minChange);
    void raiseShares(const std::map<HostId, double>& targets, double free, double minChange);
    void setShare(Member&, double share);
    bool releaseDue(double limit, const RateLimiterOptions&, MonotonicTime now);
    LimitMessage message(LimitMessage::Kind, const HostId& self, const HostId& to) const;

    Organisation m_organisation;
    std::map<HostId, Member> m_members;
    MonotonicTime m_lastAboveThreshold;
    MonotonicTime m_reportedAt;
    // False while only loans are sent and the shares stay unchanged.
    bool m_sharing = false;
    bool m_equalising = false;
    bool m_released = false;
};

} // namespace almondscale
