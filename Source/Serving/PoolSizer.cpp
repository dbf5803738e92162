#include "Serving/PoolSizer.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    // Requests per second below which there is no traffic.
    constexpr double minRequestRate = 0.5;
    // The traffic pauses if it falls to this share within the time of the peak. Its average takes some
    // seconds to fall to 0, which is no lower demand to follow.
    constexpr double pauseShare = 0.02;
    // Traffic that pauses for this long is a new beginning.
    constexpr Nanoseconds trafficGap = std::chrono::seconds(5);
    // One engine of each role, which a data centre needs that is cut off from the others.
    constexpr int minEnginesPerDataCentre = 2;
    // Share of requests that may wait longer than their target allows, as the exponent of the queueing time's
    // tail: ln(100) for one in a hundred.
    constexpr double tailExponent = 4.6;
    // Hosts know the queues of the engines with a delay, so that a queue behaves like that of a few engines
    // rather than of all.
    constexpr double pooledEngines = 4;
    // While caches are cold, requests look as long as their targets; a lower bound would order twice the
    // servers that carry them, each with another cold cache.
    constexpr double minUtilisation = 0.5;
    constexpr double msPerSecond = 1000;
    // A kind of which fewer servers are released is not worth a separate treatment by the role split.
    constexpr int minLeavingGroup = 4;
    // Servers of the rarer kind in a data centre of a settled pool; more of both kinds mean that one kind is
    // taking the place of the other.
    constexpr int maxBasePerDataCentre = 2;
    // The loss of fewer servers at once may be crashes, after which servers return.
    constexpr int minLostServers = 3;
    // Before any traffic, servers are released in one data centre after the other at this interval.
    constexpr Nanoseconds idleReleaseInterval = std::chrono::milliseconds(500);

    // What the needs leave after the loss of a data centre's spot servers.
    PoolNeeds needsAfterLoss(PoolNeeds needs, const PoolSpec& spec)
    {
        needs.normal = std::min(needs.normal, needs.oneLost);
        needs.oneLost = std::min(needs.oneLost, needs.twoLost);
        for (auto& entry : needs.perDataCentre)
            entry.second = std::min({ entry.second, std::max(spec.min, minEnginesPerDataCentre), spec.max });
        return needs;
    }

    int ceilCount(double engines) { return static_cast<int>(std::ceil(engines - 1e-9)); }

} // namespace

const char* poolReasonName(PoolReason reason)
{
    switch (reason) {
    case PoolReason::Grow:
        return "grow";
    case PoolReason::Replace:
        return "replace";
    case PoolReason::Release:
        return "release";
    case PoolReason::Repeat:
        return "repeat";
    }
    return "";
}

PoolSizer::PoolSizer(ServiceName service, PoolSizerOptions options)
    : m_service(std::move(service))
    , m_options(options)
{
}

void PoolSizer::readServers(const PoolView& view)
{
    for (auto& entry : m_groups)
        entry.second.ready = entry.second.leaving = entry.second.prefilling = 0;
    for (const auto& dataCentre : view.dataCentres) {
        m_groups[{ dataCentre, false }];
        m_groups[{ dataCentre, true }];
    }
    for (const auto& server : view.servers) {
        m_groups[{ server.dataCentre, !server.spot }];
        auto& group = m_groups[{ server.dataCentre, server.spot }];
        ++(server.leaving ? group.leaving : group.ready);
        if (!server.leaving && server.role == EngineRole::Prefill)
            ++group.prefilling;
    }
}

void PoolSizer::reconcile(const Key& key, Group& group, const PoolSpec& spec, MonotonicTime now)
{
    if (now - group.releasedAt > m_options.releaseTime)
        group.released = 0;
    if (key.second && group.leaving > group.released) {
        // Reclaimed.
        group.ordered.reset();
        group.missingSince.reset();
        group.unavailableUntil = std::max(group.unavailableUntil, now + m_options.reclaimTime);
        return;
    }
    if (!group.ordered)
        return;
    if (group.ready >= *group.ordered) {
        group.reached = true;
        group.missingSince.reset();
        // The order had no effect, or an earlier one took effect after it.
        if (group.ready > *group.ordered && !group.inFlight && now - group.orderedAt > m_options.releaseTime)
            group.ordered.reset();
        return;
    }
    // Most servers vanished without a notice: a reclaim that was not seen, or a data centre that is cut off.
    if (group.reached && group.ready + minLostServers <= *group.ordered && 2 * group.ready < *group.ordered) {
        group.ordered.reset();
        group.missingSince.reset();
        group.unavailableUntil = now + m_options.reclaimTime;
        return;
    }
    if (!group.missingSince)
        group.missingSince = now;
    if (now - *group.missingSince
        > std::max(m_options.minStartTime, m_options.maxBootTimes * spec.bootTime)) {
        group.ordered.reset();
        group.missingSince.reset();
        group.unavailableUntil = now + m_options.absenceTime;
    }
}

void PoolSizer::noteDemand(const PoolView& view, MonotonicTime now)
{
    const auto& demand = view.demand;
    double peakRequests = 0;
    for (const auto& sample : m_samples)
        peakRequests = std::max(peakRequests, sample.requests);
    m_traffic = demand.requests > std::max(minRequestRate, pauseShare * peakRequests);
    if (m_traffic) {
        if (!m_trafficSince)
            m_trafficSince = now;
        m_lastTrafficAt = now;
    } else if (m_trafficSince && now - m_lastTrafficAt > trafficGap)
        m_trafficSince.reset();
    // The fixed time of a prefill counts as work, although a part of it may be only latency: too few engines
    // cost more than too many.
    Sample sample { now, demandWithRequestTime(demand, view.requestMs).prefillMs / msPerSecond,
        demand.decodeMs / msPerSecond / std::max(1.0, view.slots) };
    sample.prefillEngines = std::max(0.0, sample.prefillEngines);
    sample.decodeEngines = std::max(0.0, sample.decodeEngines);
    const bool warmingUp = m_startedIdle && m_trafficSince && now - *m_trafficSince < m_options.warmUpTime;
    const double share = warmingUp ? m_options.warmUpShare : 1;
    sample.plannedPrefill = share * sample.prefillEngines;
    sample.plannedDecode = share * sample.decodeEngines;
    sample.requests = demand.requests;
    m_samples.push_back(sample);
    while (m_samples.front().at < now - m_options.peakTime)
        m_samples.pop_front();
}

void PoolSizer::noteTrend(const PoolSpec& spec, MonotonicTime now)
{
    double newer = 0;
    double older = 0;
    int newerCount = 0;
    int olderCount = 0;
    for (const auto& sample : m_samples) {
        const double engines = sample.prefillEngines + sample.decodeEngines;
        if (sample.at > now - m_options.trendTime) {
            newer += engines;
            ++newerCount;
        } else if (sample.at > now - 2 * m_options.trendTime) {
            older += engines;
            ++olderCount;
        }
    }
    // The start of the traffic is no trend.
    if (!m_trafficSince || now - *m_trafficSince < 2 * m_options.trendTime + trafficGap || olderCount == 0
        || older <= 0)
        return;
    const double change = (newer / newerCount) / (older / olderCount) - 1;
    const double lookAhead = std::chrono::duration<double>(spec.bootTime + m_options.controlDelay).count()
        / std::chrono::duration<double>(m_options.trendTime).count();
    const double factor = std::clamp(1 + change * lookAhead, 1.0, m_options.maxTrendFactor);
    m_samples.back().plannedPrefill *= factor;
    m_samples.back().plannedDecode *= factor;
}

PoolDemand PoolSizer::plannedDemand() const
{
    PoolDemand demand;
    for (const auto& sample : m_samples) {
        demand.prefillEngines = std::max(demand.prefillEngines, sample.plannedPrefill);
        demand.decodeEngines = std::max(demand.decodeEngines, sample.plannedDecode);
    }
    return demand;
}

double PoolSizer::plannedUtilisation(const PoolView& view) const
{
    if (view.targetMs <= 0 || view.demand.requests <= minRequestRate)
        return m_options.utilisation;
    const double workMs = demandWithRequestTime(view.demand, view.requestMs).prefillMs / view.demand.requests;
    const double slackMs = view.targetMs - workMs;
    if (slackMs <= 0)
        return minUtilisation;
    // The tail of the queueing time of constant work at a few engines: exp(-2 n (1 - u) t / work).
    const double utilisation = 1 - tailExponent * workMs / (2 * pooledEngines * slackMs);
    return std::clamp(utilisation, minUtilisation, m_options.utilisation);
}

void PoolSizer::noteFound(MonotonicTime now)
{
    if (isObserved(now)) {
        m_found.clear();
        m_startedIdle = false;
        m_wasObserved = true;
        return;
    }
    for (const auto& [dataCentre, count] : registered()) {
        const int fewer = std::min(count.reserved, count.spot);
        const int more = std::max(count.reserved, count.spot);
        const bool ordered
            = m_groups[{ dataCentre, false }].ordered || m_groups[{ dataCentre, true }].ordered;
        auto& found = m_found[dataCentre];
        const int base = ordered ? 0 : std::min(fewer, maxBasePerDataCentre);
        found = std::max(found, m_wasObserved ? count.total() : more + base);
    }
    int prefilling = 0;
    int ready = 0;
    for (const auto& entry : m_groups) {
        if (entry.second.ordered)
            return;
        prefilling += entry.second.prefilling;
        ready += entry.second.ready;
    }
    m_foundPrefill = prefilling;
    m_foundDecode = ready - prefilling;
}

PoolNeeds PoolSizer::needs(const PoolSpec& spec, const PoolDemand& demand, double utilisation, double margin,
    MonotonicTime now) const
{
    PoolNeeds needs;
    const double engines = (demand.prefillEngines + demand.decodeEngines) * margin;
    const double scale = m_options.utilisation / utilisation;
    needs.normal = ceilCount(engines / utilisation);
    int foundTotal = 0;
    for (const auto& entry : m_groups) {
        const auto& dataCentre = entry.first.first;
        int least = std::max(spec.min, minEnginesPerDataCentre);
        const auto found = m_found.find(dataCentre);
        if (!isObserved(now) && found != m_found.end())
            least = std::max(least, found->second);
        needs.perDataCentre[dataCentre] = std::min(least, spec.max);
    }
    for (const auto& entry : m_found)
        foundTotal += std::min(entry.second, spec.max);
    if (!isObserved(now))
        needs.normal = std::max(needs.normal, foundTotal);
    if (spec.spotPrice) {
        needs.oneLost = ceilCount(engines * scale / m_options.oneLostUtilisation);
        needs.twoLost = ceilCount(engines * scale / m_options.twoLostUtilisation);
        needs.reserved = std::max(m_options.minReserved, ceilCount(m_options.reservedShare * needs.normal));
    }
    return needs;
}

bool PoolSizer::isObserved(MonotonicTime now) const
{
    return m_trafficSince && now - *m_trafficSince >= m_options.observationTime;
}

PoolMix PoolSizer::wanted() const
{
    PoolMix mix;
    for (const auto& [key, group] : m_groups)
        mix[key.first].of(key.second) = group.current();
    return mix;
}

PoolMix PoolSizer::registered() const
{
    PoolMix mix;
    for (const auto& [key, group] : m_groups)
        mix[key.first].of(key.second) = group.ready;
    return mix;
}

bool PoolSizer::hasLostSpot(MonotonicTime now) const
{
    return std::any_of(m_groups.begin(), m_groups.end(),
        [now](const auto& entry) { return entry.first.second && now < entry.second.unavailableUntil; });
}

std::set<PoolSizer::Key> PoolSizer::unavailable(MonotonicTime now) const
{
    std::set<Key> keys;
    for (const auto& [key, group] : m_groups) {
        if (now < group.unavailableUntil)
            keys.insert(key);
    }
    return keys;
}

PoolMix PoolSizer::orderable(const PoolSpec& spec, MonotonicTime now) const
{
    PoolMix most;
    for (const auto& [key, group] : m_groups) {
        const bool available
            = now >= group.unavailableUntil && group.maySend() && (!key.second || spec.spotPrice);
        most[key.first].of(key.second) = available ? spec.max : group.current();
    }
    return most;
}

PoolOutlook PoolSizer::outlook() const
{
    PoolOutlook outlook;
    for (const auto& entry : m_groups)
        outlook.starting += std::max(0, entry.second.current() - entry.second.ready);
    outlook.surplus = m_surplus;
    outlook.leaving = m_leavingGroups;
    return outlook;
}

void PoolSizer::order(
    std::vector<PoolDecision>& decisions, const Key& key, int servers, PoolReason reason, MonotonicTime now)
{
    auto& group = m_groups[key];
    const int before = group.current();
    group.orderedBefore = group.ordered;
    group.ordered = servers;
    group.orderedAt = now;
    group.reached = false;
    group.inFlight = true;
    group.repeatTime = m_options.repeatTime;
    group.missingSince.reset();
    if (servers < before) {
        group.released += before - servers;
        group.releasedAt = now;
    }
    decisions.push_back({ { m_service, key.first, servers, key.second }, reason, before });
}

void PoolSizer::repeatOrders(std::vector<PoolDecision>& decisions, MonotonicTime now)
{
    for (auto& [key, group] : m_groups) {
        if (!group.repeatAt || now < *group.repeatAt)
            continue;
        group.repeatAt.reset();
        if (!group.ordered)
            continue;
        group.inFlight = true;
        group.orderedAt = now;
        group.repeatTime = std::min(2 * group.repeatTime, m_options.maxRepeatTime);
        decisions.push_back(
            { { m_service, key.first, *group.ordered, key.second }, PoolReason::Repeat, *group.ordered });
    }
}

void PoolSizer::raise(
    std::vector<PoolDecision>& decisions, const PoolMix& mix, PoolReason reason, MonotonicTime now)
{
    for (const auto& [dataCentre, count] : mix) {
        for (const bool spot : { true, false }) {
            const auto& group = m_groups[{ dataCentre, spot }];
            if (count.of(spot) > group.current() && group.maySend())
                order(decisions, { dataCentre, spot }, count.of(spot), reason, now);
        }
    }
}

PoolMix PoolSizer::grown(
    const PoolSpec& spec, const PoolNeeds& needs, const PoolMix& from, MonotonicTime now) const
{
    const auto most = orderable(spec, now);
    const double share = std::max(
        m_options.maxDataCentreShare, m_options.maxShareFactor / std::max(1, static_cast<int>(from.size())));
    const int bound = std::min(spec.max, ceilCount(share * needs.normal));
    auto mix = growPool(spec, needs, from, most, bound);
    return poolShortfall(mix, needs) == 0 ? mix : growPool(spec, needs, mix, most, spec.max);
}

PoolMix PoolSizer::replacement(const PoolSpec& spec, const PoolNeeds& needs, MonotonicTime now) const
{
    auto before = wanted();
    PoolMix empty;
    for (const auto& entry : before)
        empty[entry.first] = {};
    const auto best = grown(spec, needs, empty, now);
    const auto kept = prunePool(spec, needs, before);
    if (poolShortfall(best, needs) > poolShortfall(kept, needs)
        || poolPricePerSecond(best, spec) > m_options.replacePriceShare * poolPricePerSecond(kept, spec))
        return before;
    auto raised = before;
    for (auto& [dataCentre, count] : raised) {
        for (const bool spot : { true, false }) {
            const int room = spec.max - count.total();
            const int more = best.at(dataCentre).of(spot) - count.of(spot);
            count.of(spot) += std::clamp(more, 0, std::max(0, room));
        }
    }
    return raised;
}

bool PoolSizer::keepsRoles(const Group& group, int count, const PoolDemand& demand, MonotonicTime now) const
{
    int prefilling = 0;
    int ready = 0;
    for (const auto& entry : m_groups) {
        prefilling += entry.second.prefilling;
        ready += entry.second.ready;
    }
    const int decoding = ready - prefilling;
    const int prefillLeft = prefilling - std::min(count, group.prefilling);
    const int decodeLeft = decoding - std::min(count, group.ready - group.prefilling);
    if (!m_trafficSince) {
        return now - *m_superfluousSince > m_options.idleRoleWait
            || (prefillLeft >= m_options.idleRoleShare * m_foundPrefill
                && decodeLeft >= m_options.idleRoleShare * m_foundDecode);
    }
    return prefillLeft >= std::max(1.0, demand.prefillEngines / m_options.roleUtilisation)
        && decodeLeft >= std::max(1.0, demand.decodeEngines / m_options.roleUtilisation);
}

void PoolSizer::release(std::vector<PoolDecision>& decisions, const PoolSpec& spec, const PoolNeeds& needs,
    const PoolDemand& demand, MonotonicTime now)
{
    // Servers count only if they are ready now and are not being released.
    PoolMix present;
    bool releasing = false;
    for (const auto& [key, group] : m_groups) {
        present[key.first].of(key.second) = std::min(group.ready, group.current());
        releasing |= group.ready > group.current();
    }
    int total = 0;
    for (const auto& entry : present)
        total += entry.second.total();
    m_surplus = std::max(0, total - needs.normal);
    const auto kept = prunePool(spec, needs, present);
    if (kept == present) {
        m_superfluousSince.reset();
        return;
    }
    if (!m_superfluousSince)
        m_superfluousSince = now;
    if (m_traffic || m_trafficSince) {
        if (releasing || now - *m_superfluousSince < m_options.releaseDwell
            || (!isObserved(now) && !m_startedIdle)
            || (m_lastReleaseAt && now - *m_lastReleaseAt < m_options.releaseInterval))
            return;
    } else if (m_lastReleaseAt && now - *m_lastReleaseAt < idleReleaseInterval)
        return;
    std::vector<std::pair<double, Key>> candidates;
    for (const auto& [key, group] : m_groups) {
        if (group.maySend() && kept.at(key.first).of(key.second) < present.at(key.first).of(key.second))
            candidates.emplace_back(-serverPricePerSecond(spec, key.first, key.second), key);
    }
    std::sort(candidates.begin(), candidates.end());
    for (const auto& entry : candidates) {
        const auto& key = entry.second;
        const auto& group = m_groups[key];
        const int superfluous = present[key.first].of(key.second) - kept.at(key.first).of(key.second);
        int count = superfluous;
        if (m_trafficSince) {
            const bool replaced = m_leavingGroups.count(key) > 0;
            count = std::min(count, replaced ? m_options.replaceStep : m_options.releaseStep);
        }
        while (count > 0 && !keepsRoles(group, count, demand, now))
            --count;
        if (count == 0)
            continue;
        order(decisions, key, group.current() - count, PoolReason::Release, now);
        m_lastReleaseAt = now;
        return;
    }
}

void PoolSizer::noteLeavingGroups(const PoolSpec& spec, const PoolNeeds& needs)
{
    m_leavingGroups.clear();
    const auto before = wanted();
    const auto kept = prunePool(spec, needs, before);
    for (const auto& [dataCentre, count] : before) {
        for (const bool spot : { false, true }) {
            const int stay = kept.at(dataCentre).of(spot);
            if (2 * stay <= count.of(spot) && count.of(spot) - stay >= minLeavingGroup)
                m_leavingGroups.insert({ dataCentre, spot });
        }
    }
}

std::vector<PoolDecision> PoolSizer::decide(const PoolSpec& spec, const PoolView& view, MonotonicTime now)
{
    readServers(view);
    for (auto& [key, group] : m_groups)
        reconcile(key, group, spec, now);
    noteDemand(view, now);
    noteTrend(spec, now);
    if (m_first)
        m_startedIdle = !m_traffic;
    m_first = false;
    noteFound(now);

    const auto demand = plannedDemand();
    const double utilisation = plannedUtilisation(view);
    const auto least = needs(spec, demand, utilisation, 1, now);
    // Orders aim above the least, so that a small change of the demand causes no further order.
    const auto wide = needs(spec, demand, utilisation, m_options.releaseMargin, now);
    m_figures = { demand, utilisation, isObserved(now), least };

    std::vector<PoolDecision> decisions;
    repeatOrders(decisions, now);
    // The loss of spot servers that the pool was planned for needs no reserved servers in their place.
    const bool lost = hasLostSpot(now);
    if (poolShortfall(wanted(), lost ? needsAfterLoss(least, spec) : least) > 0)
        raise(decisions, grown(spec, lost ? needsAfterLoss(wide, spec) : wide, wanted(), now),
            PoolReason::Grow, now);
    raise(decisions, replacement(spec, wide, now), PoolReason::Replace, now);
    noteLeavingGroups(spec, wide);
    release(decisions, spec, wide, demand, now);
    return decisions;
}

void PoolSizer::onAnswer(const PoolOrder& order, PoolAnswer answer, MonotonicTime now)
{
    const auto found = m_groups.find({ order.dataCentre, order.spot });
    if (found == m_groups.end() || !found->second.inFlight)
        return;
    auto& group = found->second;
    group.inFlight = false;
    switch (answer) {
    case PoolAnswer::Accepted:
        group.repeatTime = m_options.repeatTime;
        return;
    case PoolAnswer::Unknown:
        group.repeatAt = now + group.repeatTime;
        return;
    case PoolAnswer::Refused:
    case PoolAnswer::Deferred:
        group.ordered = group.orderedBefore;
        group.missingSince.reset();
        group.released = 0;
        group.unavailableUntil = std::max(group.unavailableUntil, now + m_options.refusalTime);
        return;
    }
}

} // namespace almondscale
