#include "Admission/ShareCoordinator.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

ShareCoordinator::ShareCoordinator(Organisation organisation, MonotonicTime now)
    : m_organisation(std::move(organisation))
    , m_lastAboveThreshold(now)
    , m_reportedAt(now)
{
}

void ShareCoordinator::onReport(const LimitMessage& report, MonotonicTime now)
{
    m_reportedAt = now;
    // A previous coordinator has granted shares.
    m_sharing = m_sharing || report.sequence > 0;
    auto& member = m_members[report.from];
    member.demand = report.demand;
    if (!member.known) {
        member.known = true;
        member.granted = report.share;
        member.sequence = report.sequence;
    }
    if (report.sequence < member.sequence) {
        // The grant has not arrived yet, or the host has restarted and lost it.
        member.used = std::max(member.used, report.share);
        member.confirmed = false;
        return;
    }
    member.used = report.share;
    member.sequence = report.sequence;
    member.confirmed = true;
}

std::vector<LimitMessage> ShareCoordinator::tick(const HostId& self, const std::vector<LimitPeer>& peers,
    double limit, const RateLimiterOptions& options, MonotonicTime now)
{
    removeAbsent(peers);
    m_sharing = m_sharing || totalDemand() >= options.loanThreshold * limit;
    if (!m_sharing)
        return sendLoans(self, options, now);
    const double equal = limit / static_cast<double>(std::max<std::size_t>(1, peers.size()));
    bool allKnown = true;
    double committed = 0;
    for (const auto& peer : peers) {
        const auto& member = m_members[peer.host];
        allKnown = allKnown && member.known;
        committed += member.committed();
    }
    m_equalising = releaseDue(limit, options, now);
    const auto wanted = targets(peers, limit, options);
    const double minChange = options.minChange * equal;
    lowerShares(wanted, minChange);
    // The share in use at an unknown host may be any value, so none of the limit can be granted.
    if (allKnown)
        raiseShares(wanted, limit - committed, minChange);

    std::vector<LimitMessage> messages;
    bool settled = m_equalising && allKnown;
    for (const auto& peer : peers) {
        auto& member = m_members[peer.host];
        settled = settled && member.confirmed && std::abs(member.used - equal) <= minChange;
        const bool due = !member.sentAt || now >= *member.sentAt + options.retransmitInterval;
        if (!peer.reachable || (member.known && member.confirmed) || !due)
            continue;
        member.sentAt = now;
        const auto kind = member.known ? LimitMessage::Kind::Grant : LimitMessage::Kind::Query;
        messages.push_back(message(kind, self, peer.host));
    }
    if (!settled)
        return messages;
    m_released = true;
    for (const auto& peer : peers)
        messages.push_back(message(LimitMessage::Kind::Release, self, peer.host));
    return messages;
}

std::vector<LimitMessage> ShareCoordinator::sendLoans(
    const HostId& self, const RateLimiterOptions& options, MonotonicTime now)
{
    m_released = now >= m_reportedAt + options.loanExpiry;
    std::vector<LimitMessage> loans;
    for (auto& [host, member] : m_members) {
        if (!member.confirmed)
            continue;
        // No further loan until the host sends another report.
        member.confirmed = false;
        loans.push_back(message(LimitMessage::Kind::Loan, self, host));
    }
    return loans;
}

double ShareCoordinator::totalDemand() const
{
    double demand = 0;
    for (const auto& [host, member] : m_members)
        demand += member.demand;
    return demand;
}

void ShareCoordinator::removeAbsent(const std::vector<LimitPeer>& peers)
{
    for (auto member = m_members.begin(); member != m_members.end();) {
        const bool present = std::any_of(
            peers.begin(), peers.end(), [&](const auto& peer) { return peer.host == member->first; });
        member = present ? std::next(member) : m_members.erase(member);
    }
}

// Shares are proportional to the demand, except for a small fraction that is divided evenly.
// Unreachable hosts keep their shares.
std::map<HostId, double> ShareCoordinator::targets(
    const std::vector<LimitPeer>& peers, double limit, const RateLimiterOptions& options) const
{
    double left = limit;
    double demand = 0;
    int reachable = 0;
    for (const auto& peer : peers) {
        const auto& member = m_members.at(peer.host);
        if (!peer.reachable) {
            left -= member.committed();
            continue;
        }
        ++reachable;
        demand += std::min(member.demand, limit);
    }
    left = std::max(0.0, left);
    const double evenPart = m_equalising || demand <= 0 ? 1 : options.evenFraction;
    std::map<HostId, double> targets;
    for (const auto& peer : peers) {
        if (!peer.reachable)
            continue;
        const double weight = demand > 0 ? std::min(m_members.at(peer.host).demand, limit) / demand : 0;
        targets[peer.host] = left * (evenPart / reachable + (1 - evenPart) * weight);
    }
    return targets;
}

void ShareCoordinator::lowerShares(const std::map<HostId, double>& targets, double minChange)
{
    for (const auto& [host, target] : targets) {
        auto& member = m_members[host];
        // A released share can be granted to others only once its reduction is confirmed, so a host
        // has at most one unconfirmed change.
        if (member.known && member.confirmed && member.granted - target > minChange)
            setShare(member, target);
    }
}

// The largest deficits are served first, to need few messages.
void ShareCoordinator::raiseShares(const std::map<HostId, double>& targets, double free, double minChange)
{
    std::vector<std::pair<double, HostId>> deficits;
    for (const auto& [host, target] : targets) {
        const auto& member = m_members[host];
        const double more = target - member.granted;
        if (member.confirmed && more > minChange)
            deficits.emplace_back(more, host);
    }
    std::sort(deficits.rbegin(), deficits.rend());
    for (const auto& [more, host] : deficits) {
        if (free <= minChange)
            return;
        auto& member = m_members[host];
        const double added = std::min(more, free);
        setShare(member, member.granted + added);
        free -= added;
    }
}

void ShareCoordinator::setShare(Member& member, double share)
{
    member.granted = share;
    ++member.sequence;
    member.confirmed = false;
    member.sentAt.reset();
}

bool ShareCoordinator::releaseDue(double limit, const RateLimiterOptions& options, MonotonicTime now)
{
    if (totalDemand() >= options.releaseThreshold * limit)
        m_lastAboveThreshold = now;
    return now >= m_lastAboveThreshold + options.releaseDelay;
}

LimitMessage ShareCoordinator::message(LimitMessage::Kind kind, const HostId& self, const HostId& to) const
{
    const auto& member = m_members.at(to);
    return { kind, self, to, m_organisation, 0, member.granted, member.sequence };
}

} // namespace almondscale
