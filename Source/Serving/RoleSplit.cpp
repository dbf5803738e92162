#include "Serving/RoleSplit.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    // Fleets of this size keep a second decode engine, so that one remains after a crash.
    constexpr int minEnginesForSpare = 6;
    // Requests per second below which there is no traffic yet.
    constexpr double minRequestRate = 0.5;
    constexpr double msPerSecond = 1000;
    // Lower bound of the engines of a role for the utilisation, so that a role without capacity is the
    // busiest.
    constexpr double minCapacity = 0.01;

    int minDecodeEngines(int engines) { return engines >= minEnginesForSpare ? 2 : 1; }

    bool isEngineOf(const Backend& backend, const ServiceName& service)
    {
        return backend.record.service == service && backend.record.role;
    }

    double steadyFactor(const Backend& engine, EngineRole role)
    {
        return role == EngineRole::Prefill ? engine.factors.steadyPrefill : engine.factors.steadyDecode;
    }

    // Engines in the same step of the logarithm of their factor count as equally fast.
    constexpr double factorStep = 0.25;

    double speedStep(const Backend& engine)
    {
        return std::round(std::log(engine.factors.steadyPrefill) / factorStep);
    }

} // namespace

RoleSplit::RoleSplit(const BackendTable& backends, RoleSplitOptions options)
    : m_backends(backends)
    , m_options(options)
{
}

int RoleSplit::defaultTarget(int engines, double slots) const
{
    const double odds
        = m_options.defaultDecodeOdds / std::pow(std::max(1.0, slots), m_options.defaultOddsExponent);
    const int share = static_cast<int>(std::lround(engines * odds / (1 + odds)));
    return std::clamp(std::max(share, minDecodeEngines(engines)), 0, std::max(0, engines - 1));
}

int RoleSplit::decodeTarget(
    int engines, double slots, const EngineDemand& demand, int decoding, const LimitedCapacity& missing) const
{
    const int minDecode = minDecodeEngines(engines);
    if (demand.requests <= minRequestRate || demand.decodeMs <= 0)
        return defaultTarget(engines, slots);
    const double prefillEngines = demand.prefillMs / msPerSecond;
    const double decodeEngines = demand.decodeMs / msPerSecond / std::max(1.0, slots);
    const auto utilisation = [&](int decode) {
        return std::max(prefillEngines / std::max(minCapacity, engines - decode - missing.prefill),
            decodeEngines / std::max(minCapacity, decode - missing.decode));
    };
    const int current = std::clamp(decoding, std::min(minDecode, engines - 1), engines - 1);
    if (current < 1 || (current == decoding && utilisation(current) < m_options.rebalanceUtilisation))
        return current;
    int best = current;
    for (int decode = minDecode; decode < engines; ++decode) {
        if (utilisation(decode) < utilisation(best))
            best = decode;
    }
    if (current == decoding && best < current && utilisation(current) < m_options.rebalancePrefillUtilisation)
        return current;
    return current != decoding
            || utilisation(best) < (1 - m_options.minUtilisationGain) * utilisation(current)
        ? best
        : current;
}

EngineDemand RoleSplit::averageDemand(
    const ServiceName& service, const EngineDemand& demand, MonotonicTime now)
{
    auto& average = m_averages[service];
    if (demand.requests <= minRequestRate)
        return demand;
    const double seconds = average.weight > 0 ? std::chrono::duration<double>(now - average.at).count() : 1;
    const double decay
        = std::exp(-seconds / std::chrono::duration<double>(m_options.demandTimeConstant).count());
    auto newest = demand;
    (average.sum *= decay) += (newest *= seconds);
    average.weight = average.weight * decay + seconds;
    average.at = now;
    auto mean = average.sum;
    return mean *= 1 / average.weight;
}

double RoleSplit::missingCapacity(const std::vector<const Backend*>& engines, EngineRole role,
    const EngineDemand& demand, double slots) const
{
    if (demand.requests <= minRequestRate)
        return 0;
    // The demand is in the time of the typical engine: a slow engine is partly missing, a fast one counts for
    // more than one.
    double missing = 0;
    for (const auto* engine : engines)
        missing += 1 - 1 / steadyFactor(*engine, role);
    if (m_backends.limits().empty())
        return missing;
    const double busyMs
        = role == EngineRole::Decode ? demand.decodeMs / std::max(1.0, slots) : demand.prefillMs;
    for (const auto* engine : engines) {
        const auto limit = m_backends.limits().limit(lifetimeOf(engine->record));
        if (!limit)
            continue;
        const double usedMs = limit->perSecond() * busyMs / demand.requests;
        missing += std::max(0.0, 1 - usedMs / msPerSecond);
    }
    return missing;
}

int RoleSplit::decodeShortage(const ServiceName& service, const EngineDemand& demand, int engines,
    double slots, int decoding, const LimitedCapacity& missing, MonotonicTime now)
{
    auto& peak = m_peaks[service];
    if (engines >= peak.engines || now - peak.at > m_options.registrationLapseTime)
        peak = Peak { engines, now };
    const int shortage = decodeTarget(engines, slots, demand, decoding, missing) - decoding;
    if (shortage >= 0)
        return shortage;
    // Engines that may reappear are counted, so that their absence causes no surplus.
    return std::min(0, decodeTarget(peak.engines, slots, demand, decoding, missing) - decoding);
}

bool RoleSplit::isPrefillIdle(int prefilling, const EngineDemand& demand) const
{
    return prefilling >= m_options.largePrefillFleet
        && demand.prefillMs < m_options.minPrefillUtilisation * msPerSecond * prefilling;
}

bool RoleSplit::isAlternating(const ServiceName& service, int shortage, MonotonicTime now)
{
    auto& turns = m_turns[service];
    if (shortage == 0)
        return turns.alternatingUntil > now;
    const int sign = shortage > 0 ? 1 : -1;
    if (turns.sign != 0 && sign != turns.sign) {
        if (turns.at != MonotonicTime() && now - turns.at < m_options.alternationTime)
            turns.alternatingUntil = now + 2 * m_options.alternationTime;
        turns.at = now;
    }
    turns.sign = sign;
    return turns.alternatingUntil > now;
}

int RoleSplit::maxConcurrentChanges(int engines, int prefilling) const
{
    if (prefilling < m_options.largePrefillFleet)
        return 1;
    return std::max(1, static_cast<int>(engines * m_options.maxConcurrentShare));
}

void RoleSplit::setOutlook(const ServiceName& service, const std::optional<PoolOutlook>& outlook)
{
    if (outlook)
        m_outlooks[service] = *outlook;
    else
        m_outlooks.erase(service);
}

int RoleSplit::balancedTarget(int engines, double slots, const EngineDemand& demand, int decoding) const
{
    const double prefillEngines = demand.prefillMs / msPerSecond;
    const double decodeEngines = demand.decodeMs / msPerSecond / std::max(1.0, slots);
    const auto utilisation = [&](int decode) {
        return std::max(prefillEngines / std::max(minCapacity, static_cast<double>(engines - decode)),
            decodeEngines / std::max(minCapacity, static_cast<double>(decode)));
    };
    int best = std::min(minDecodeEngines(engines), engines - 1);
    for (int decode = best; decode < engines; ++decode) {
        if (utilisation(decode) < utilisation(best))
            best = decode;
    }
    return utilisation(best) < (1 - m_options.minUtilisationGain) * utilisation(decoding) ? best : decoding;
}

const Backend* RoleSplit::takeFromPool(
    std::vector<const Backend*>& from, std::map<DataCentre, int>& decoding, EngineRole role) const
{
    const bool toDecode = role == EngineRole::Decode;
    const auto best = std::min_element(from.begin(), from.end(), [&](const Backend* a, const Backend* b) {
        if (a->record.spot != b->record.spot)
            return a->record.spot != toDecode;
        const int aCount = decoding[a->record.dataCentre];
        const int bCount = decoding[b->record.dataCentre];
        if (aCount != bCount)
            return toDecode ? aCount < bCount : aCount > bCount;
        return a->load().requests + a->load().prefillMs < b->load().requests + b->load().prefillMs;
    });
    const auto* engine = *best;
    from.erase(best);
    decoding[engine->record.dataCentre] += toDecode ? 1 : -1;
    return engine;
}

bool RoleSplit::stays(const Backend& backend) const
{
    const auto outlook = m_outlooks.find(backend.record.service);
    return outlook == m_outlooks.end()
        || outlook->second.leaving.count({ backend.record.dataCentre, backend.record.spot }) == 0;
}

bool RoleSplit::awaitsEngines(
    const ServiceName& service, const EngineDemand& demand, int prefilling, int decoding, double slots) const
{
    const auto outlook = m_outlooks.find(service);
    if (outlook == m_outlooks.end() || outlook->second.starting == 0)
        return false;
    // Without traffic, or with most servers about to be replaced, the roles are shared when all are there.
    if (demand.requests <= minRequestRate || !outlook->second.leaving.empty())
        return true;
    const double prefillEngines = demand.prefillMs / msPerSecond;
    const double decodeEngines = demand.decodeMs / msPerSecond / std::max(1.0, slots);
    return prefillEngines < m_options.startingUtilisation * prefilling
        && decodeEngines < m_options.startingUtilisation * decoding;
}

std::vector<RoleAssignment> RoleSplit::decide(
    const ServiceName& service, const EngineDemand& demand, MonotonicTime now)
{
    std::vector<const Backend*> prefill;
    std::vector<const Backend*> decode;
    for (const auto& entry : m_backends.all()) {
        const auto& backend = entry.second;
        if (!isEngineOf(backend, service) || m_backends.isLeaving(backend) || !stays(backend))
            continue;
        auto role = *backend.record.role;
        const auto order = m_orders.find(entry.first);
        if (order != m_orders.end()) {
            if (order->second.role == role || now - order->second.at > m_options.orderTimeout)
                m_orders.erase(order);
            else
                role = order->second.role;
        }
        (role == EngineRole::Prefill ? prefill : decode).push_back(&backend);
    }
    const int engines = static_cast<int>(prefill.size() + decode.size());
    double slots = 0;
    for (const auto* list : { &prefill, &decode }) {
        for (const auto* engine : *list)
            slots += static_cast<double>(engine->record.slots) / engines;
    }
    const auto average = averageDemand(service, demand, now);
    if (awaitsEngines(
            service, average, static_cast<int>(prefill.size()), static_cast<int>(decode.size()), slots))
        return {};
    const LimitedCapacity missing { missingCapacity(prefill, EngineRole::Prefill, average, slots),
        missingCapacity(decode, EngineRole::Decode, average, slots) };
    const auto outlook = m_outlooks.find(service);
    const bool traffic = demand.requests > minRequestRate;
    const int surplus = traffic && outlook != m_outlooks.end() ? outlook->second.surplus : 0;
    const int decoding = static_cast<int>(decode.size());
    int shortage = surplus > 0 && engines > 1
        ? balancedTarget(engines, slots, average, decoding) - decoding
        : decodeShortage(service, average, engines, slots, decoding, missing, now);
    if (shortage < 0 && isPrefillIdle(static_cast<int>(prefill.size()), demand))
        shortage = 0;
    if (shortage <= 0)
        m_shortageSince.erase(service);
    if (shortage >= 0)
        m_surplusSince.erase(service);
    const bool alternating = isAlternating(service, shortage, now);
    if (engines < 2 || shortage == 0)
        return {};
    const auto since = (shortage > 0 ? m_shortageSince : m_surplusSince).emplace(service, now).first->second;
    const auto dwell = shortage > 0 ? m_options.shortageDwell : m_options.surplusDwell;
    if (traffic && now - since < (alternating ? std::max(dwell, m_options.alternatingDwell) : dwell))
        return {};
    if (traffic && surplus == 0 && shortage < 0 && now - m_lastOrderAt < m_options.orderCooldown)
        return {};

    auto& from = shortage > 0 ? prefill : decode;
    const auto& to = shortage > 0 ? decode : prefill;
    std::map<DataCentre, int> enginesPerDataCentre;
    for (const auto* engine : to)
        ++enginesPerDataCentre[engine->record.dataCentre];
    // Engines without a limit first, then data centres with the fewest engines of the new role, then slow
    // engines to decode and fast ones to prefill, since the first event waits for the prefill alone, then the
    // engines with the least work.
    const auto isLimited
        = [this](const Backend* engine) { return m_backends.limits().isLimited(lifetimeOf(engine->record)); };
    std::stable_sort(from.begin(), from.end(), [&](const Backend* a, const Backend* b) {
        if (isLimited(a) != isLimited(b))
            return !isLimited(a);
        const int aCount = enginesPerDataCentre[a->record.dataCentre];
        const int bCount = enginesPerDataCentre[b->record.dataCentre];
        if (aCount != bCount)
            return aCount < bCount;
        const double aStep = speedStep(*a);
        const double bStep = speedStep(*b);
        if (aStep != bStep)
            return shortage > 0 ? aStep > bStep : aStep < bStep;
        return a->load().requests + a->load().prefillMs < b->load().requests + b->load().prefillMs;
    });
    int concurrent = traffic ? maxConcurrentChanges(engines, static_cast<int>(prefill.size())) : engines;
    if (demand.decodeMs > 0 && shortage >= m_options.largeShortage)
        concurrent = std::max(concurrent, shortage / 2);
    concurrent = std::max(concurrent, surplus);
    const auto maxOrders = static_cast<std::size_t>(std::min(std::abs(shortage), concurrent));
    std::vector<RoleAssignment> orders;
    if (outlook != m_outlooks.end()) {
        for (auto entry = m_orderedAt.begin(); entry != m_orderedAt.end();)
            entry
                = now - entry->second > m_options.roleHoldTime ? m_orderedAt.erase(entry) : std::next(entry);
        std::map<DataCentre, int> decodingPerDataCentre;
        for (const auto* engine : decode)
            ++decodingPerDataCentre[engine->record.dataCentre];
        const auto role = shortage > 0 ? EngineRole::Decode : EngineRole::Prefill;
        from.erase(std::remove_if(from.begin(), from.end(),
                       [&](const Backend* engine) {
                           return m_orders.count(engine->record.id) > 0
                               || (surplus > 0 && m_orderedAt.count(engine->record.id) > 0);
                       }),
            from.end());
        while (orders.size() < maxOrders && !from.empty())
            orders.push_back({ takeFromPool(from, decodingPerDataCentre, role)->record.id, role });
        return orders;
    }
    for (const auto* engine : from) {
        if (orders.size() == maxOrders)
            break;
        if (m_orders.count(engine->record.id) == 0)
            orders.push_back({ engine->record.id, shortage > 0 ? EngineRole::Decode : EngineRole::Prefill });
    }
    return orders;
}

void RoleSplit::onOrdered(const RoleAssignment& order, MonotonicTime now)
{
    m_orders[order.engine] = Order { order.role, now };
    if (!m_outlooks.empty())
        m_orderedAt[order.engine] = now;
    m_lastOrderAt = now;
}

void RoleSplit::onRefused(const BackendId& engine) { m_orders.erase(engine); }

} // namespace almondscale
