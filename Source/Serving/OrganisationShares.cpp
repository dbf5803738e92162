#include "Serving/OrganisationShares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace almondscale {

namespace {

    // A shorter observation is too little to extrapolate from.
    constexpr double minElapsedShare = 0.1;
    // An organisation without demand is forgotten at this many time constants of its least demand.
    constexpr int forgetTimes = 4;
    constexpr int levelSteps = 40;

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

} // namespace

void OrganisationShares::Rate::add(double work, Nanoseconds timeConstant, MonotonicTime now)
{
    if (startedAt == MonotonicTime {})
        startedAt = at = now;
    perSecond *= std::exp(-seconds(now - at) / seconds(timeConstant));
    perSecond += work / seconds(timeConstant);
    at = now;
}

double OrganisationShares::Rate::value(Nanoseconds timeConstant, MonotonicTime now) const
{
    const double elapsed = 1 - std::exp(-seconds(now - startedAt) / seconds(timeConstant));
    return perSecond * std::exp(-seconds(now - at) / seconds(timeConstant))
        / std::max(minElapsedShare, elapsed);
}

OrganisationShares::OrganisationShares(OrganisationSharesOptions options)
    : m_options(options)
{
}

bool OrganisationShares::isScarce(const Level& level, MonotonicTime now) const
{
    return level.scarceAt && now - *level.scarceAt < m_options.scarceTime;
}

bool OrganisationShares::isScarce(Priority priority, MonotonicTime now) const
{
    const auto level = m_levels.find(priority);
    return level != m_levels.end() && isScarce(level->second, now);
}

void OrganisationShares::onScarce(Priority priority, MonotonicTime now)
{
    auto& level = m_levels[priority];
    if (!isScarce(level, now)) {
        // What was served up to now is about what can be served.
        level.capacity = level.served.value(m_options.demandTime, now);
        for (auto& entry : level.members) {
            entry.second.allowanceAt = now;
            entry.second.claimedAt = {};
        }
        shareOut(level, now);
    }
    level.scarceAt = now;
    level.scarceInInterval = true;
}

double OrganisationShares::leastClaim(Member& member, MonotonicTime now) const
{
    double claim = member.leastDemand.value(m_options.leastDemandTime, now);
    if (member.claimedAt != MonotonicTime {}) {
        const double growth = 1 + m_options.leastGrowth * seconds(now - member.claimedAt);
        claim = std::min(claim, member.leastClaim * growth);
    }
    member.leastClaim = claim;
    member.claimedAt = now;
    return claim;
}

void OrganisationShares::shareOut(Level& level, MonotonicTime now) const
{
    struct Claim {
        Member* member;
        double demand;
        double least;
    };
    std::vector<Claim> claims;
    double total = 0;
    double totalLeast = 0;
    for (auto entry = level.members.begin(); entry != level.members.end();) {
        auto& member = entry->second;
        if (now - member.demand.at > forgetTimes * m_options.leastDemandTime) {
            entry = level.members.erase(entry);
            continue;
        }
        claims.push_back(
            { &member, member.demand.value(m_options.demandTime, now), leastClaim(member, now) });
        total += claims.back().demand;
        totalLeast += claims.back().least;
        ++entry;
    }
    const double leastFactor
        = totalLeast > 0 ? m_options.leastShare * std::min(1.0, level.capacity / totalLeast) : 0;
    double highest = 0;
    for (auto& claim : claims) {
        claim.least
            = std::min({ claim.demand, leastFactor * claim.least, m_options.maxLeastPart * level.capacity });
        highest = std::max(highest, claim.demand);
    }
    // The level up to which all demand is served, so that the shares use up the capacity.
    double low = 0;
    double high = highest;
    for (int step = 0; step < levelSteps && total > level.capacity; ++step) {
        const double middle = (low + high) / 2;
        double used = 0;
        for (const auto& claim : claims)
            used += std::max(claim.least, std::min(claim.demand, middle));
        (used > level.capacity ? high : low) = middle;
    }
    // Organisations whose demand rises may use the level at once.
    level.shared = total > level.capacity ? low : std::max(highest, level.capacity);
    for (const auto& claim : claims)
        claim.member->sharePerSecond = std::max(claim.least, level.shared);
}

void OrganisationShares::compute(Level& level, MonotonicTime now) const
{
    if (now - level.computedAt < m_options.interval)
        return;
    level.computedAt = now;
    if (!level.scarceInInterval)
        level.capacity *= m_options.increase;
    else if (now - level.decreasedAt >= m_options.decreaseInterval) {
        level.capacity *= m_options.decrease;
        level.decreasedAt = now;
    }
    level.scarceInInterval = false;
    shareOut(level, now);
}

bool OrganisationShares::admit(
    const Organisation& organisation, Priority priority, double workMs, MonotonicTime now)
{
    auto& level = m_levels[priority];
    const auto [entry, added] = level.members.try_emplace(organisation);
    auto& member = entry->second;
    if (added) {
        member.sharePerSecond = level.shared;
        member.allowance = std::max(workMs, level.shared * seconds(m_options.burstTime));
        member.allowanceAt = now;
    }
    member.demand.add(workMs, m_options.demandTime, now);
    member.leastDemand.add(workMs, m_options.leastDemandTime, now);
    if (isScarce(level, now)) {
        compute(level, now);
        const double most = std::max(
            m_options.minBurstRequests * workMs, member.sharePerSecond * seconds(m_options.burstTime));
        member.allowance
            = std::min(most, member.allowance + member.sharePerSecond * seconds(now - member.allowanceAt));
        member.allowanceAt = now;
        if (member.allowance < workMs)
            return false;
        member.allowance -= workMs;
    }
    level.served.add(workMs, m_options.demandTime, now);
    return true;
}

} // namespace almondscale
