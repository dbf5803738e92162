#include "SimulatedPool.h"

#include <cmath>

namespace almondscale {

namespace {

    constexpr double stepSeconds = 0.1;
    constexpr double bootSeconds = 4;
    constexpr double drainSeconds = 3;
    constexpr double reclaimNoticeSeconds = 2.4;
    constexpr double roleChangeSeconds = 3;
    // Until a change is read in the registrations.
    constexpr double registrationSeconds = 0.6;
    constexpr double smoothingSeconds = 4;
    constexpr int poolSteps = 3;
    constexpr int roleSteps = 2;
    constexpr int ruleSteps = 50;
    constexpr double requestsPerEngine = 5;
    constexpr double reversalSeconds = 10;

    MonotonicTime at(double seconds)
    {
        return testStart + std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(seconds));
    }

} // namespace

SimulatedPool::SimulatedPool(std::uint64_t seed, SimulatedDemand demand)
    : m_random(seed)
    , m_demand(std::move(demand))
    , m_split(m_table)
{
    spec.min = 1;
    spec.max = 30;
    spec.bootTime = std::chrono::seconds(4);
    spec.spotPrice = 0.22;
    spec.prices = { { DataCentre("a"), 1.0 }, { DataCentre("b"), 0.8 }, { DataCentre("c"), 1.25 },
        { DataCentre("d"), 0.9 } };
    for (const auto* dataCentre : { "a", "b", "c", "d" }) {
        for (int i = 0; i < 15; ++i)
            add(dataCentre, false, i < 10 ? EngineRole::Prefill : EngineRole::Decode, -registrationSeconds);
    }
    sizer.emplace(model);
    publish();
}

void SimulatedPool::add(const std::string& dataCentre, bool spot, EngineRole role, double readyAt)
{
    const auto number = m_nextId++;
    Server server;
    server.record = engineRecord(
        "e" + std::to_string(number), role, dataCentre, static_cast<std::uint16_t>(number + 1));
    server.record.spot = spot;
    server.record.startedAtMs = number;
    server.readyAt = readyAt;
    m_servers[server.record.id] = server;
}

int SimulatedPool::count(const std::string& dataCentre, bool spot) const
{
    int count = 0;
    for (const auto& entry : m_servers) {
        const auto& server = entry.second;
        count
            += server.record.dataCentre.text() == dataCentre && server.record.spot == spot && !server.leavesAt
            ? 1
            : 0;
    }
    return count;
}

int SimulatedPool::total() const
{
    int total = 0;
    for (const auto* dataCentre : { "a", "b", "c", "d" })
        total += count(dataCentre, false) + count(dataCentre, true);
    return total;
}

int SimulatedPool::ready(EngineRole role) const
{
    int ready = 0;
    for (const auto& entry : m_servers) {
        const auto& server = entry.second;
        ready += server.record.role == role && server.readyAt <= m_seconds && !server.leavesAt
                && !server.nextRole
            ? 1
            : 0;
    }
    return ready;
}

void SimulatedPool::reclaim(const std::string& dataCentre, double unavailableUntil, bool everywhere)
{
    for (auto& entry : m_servers) {
        auto& server = entry.second;
        if (server.record.spot && server.record.dataCentre.text() == dataCentre && !server.leavesAt)
            server.leavesAt = m_seconds + reclaimNoticeSeconds;
    }
    for (const auto* name : { "a", "b", "c", "d" }) {
        if (everywhere || dataCentre == name)
            m_unavailableUntil[{ name, true }] = unavailableUntil;
    }
}

void SimulatedPool::cutOff(const std::string& dataCentre)
{
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        if (entry->second.record.dataCentre.text() != dataCentre) {
            ++entry;
            continue;
        }
        m_table.remove(entry->first);
        entry = m_servers.erase(entry);
    }
}

bool SimulatedPool::apply(const PoolOrder& order)
{
    const auto& dataCentre = order.dataCentre.text();
    int have = count(dataCentre, order.spot);
    if (order.servers > have && m_seconds < m_unavailableUntil[{ dataCentre, order.spot }])
        return false;
    for (; have < order.servers; ++have)
        add(dataCentre, order.spot, EngineRole::Decode, m_seconds + (startsNone ? 1e9 : bootSeconds));
    for (; have > order.servers; --have) {
        std::vector<Server*> candidates;
        for (auto& entry : m_servers) {
            auto& server = entry.second;
            if (server.record.dataCentre == order.dataCentre && server.record.spot == order.spot
                && !server.leavesAt)
                candidates.push_back(&server);
        }
        candidates[m_random() % candidates.size()]->leavesAt = m_seconds + drainSeconds;
    }
    return true;
}

void SimulatedPool::publish()
{
    for (auto& [id, server] : m_servers) {
        if (server.readyAt + registrationSeconds > m_seconds)
            continue;
        auto record = server.record;
        record.draining = server.leavesAt.has_value();
        if (server.published && *server.published == record)
            continue;
        server.published = record;
        m_table.put(record);
    }
}

EngineDemand SimulatedPool::smoothedDemand() const
{
    EngineDemand demand;
    const double weight = std::max(0.1, m_smoothedWeight);
    demand.prefillMs = 1000 * m_smoothed.prefillEngines / weight;
    demand.decodeMs = 64 * 1000 * m_smoothed.decodeEngines / weight;
    demand.requests = requestsPerEngine * (m_smoothed.prefillEngines + m_smoothed.decodeEngines) / weight;
    return demand;
}

void SimulatedPool::decidePool()
{
    PoolView view;
    view.slots = 64;
    view.targetMs = 600;
    view.demand = smoothedDemand();
    for (const auto& entry : m_table.all()) {
        const auto& record = entry.second.record;
        view.dataCentres.insert(record.dataCentre);
        view.servers.push_back({ record.dataCentre, record.spot, *record.role, record.draining });
    }
    for (const auto& decision : sizer->decide(spec, view, at(m_seconds))) {
        ++orders;
        decisions.push_back(decision);
        const bool accepted = apply(decision.order);
        refusals += accepted ? 0 : 1;
        sizer->onAnswer(decision.order,
            losesAnswers   ? PoolAnswer::Unknown
                : accepted ? PoolAnswer::Accepted
                           : PoolAnswer::Refused,
            at(m_seconds));
    }
    m_split.setOutlook(model, sizer->outlook());
}

void SimulatedPool::decideRoles()
{
    for (const auto& assignment : m_split.decide(model, smoothedDemand(), at(m_seconds))) {
        m_split.onOrdered(assignment, at(m_seconds));
        auto& server = m_servers[assignment.engine];
        ++roleOrders;
        // The first split for a demand may correct the one before any traffic.
        const bool traffic = smoothedDemand().requests > 1;
        reversals += traffic && m_seconds - server.lastOrderAt < reversalSeconds ? 1 : 0;
        server.lastOrderAt = traffic ? m_seconds : server.lastOrderAt;
        server.nextRole = assignment.role;
        server.roleAt = m_seconds + roleChangeSeconds;
    }
}

void SimulatedPool::advance()
{
    m_seconds += stepSeconds;
    ++m_step;
    const auto demand = m_demand(m_seconds);
    const double decay = std::exp(-stepSeconds / smoothingSeconds);
    std::normal_distribution<double> noise(1, 0.3);
    m_smoothed.prefillEngines = m_smoothed.prefillEngines * decay
        + demand.prefillEngines * (1 - decay) * std::max(0.0, noise(m_random));
    m_smoothed.decodeEngines = m_smoothed.decodeEngines * decay
        + demand.decodeEngines * (1 - decay) * std::max(0.0, noise(m_random));
    m_smoothedWeight = demand.prefillEngines + demand.decodeEngines > 0 || m_smoothedWeight > 0
        ? m_smoothedWeight * decay + (1 - decay)
        : 0;
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        auto& server = entry->second;
        if (server.nextRole && server.roleAt <= m_seconds) {
            server.record.role = *server.nextRole;
            server.nextRole.reset();
        }
        // All servers are billed from their order until they have left.
        cost += stepSeconds * serverPricePerSecond(spec, server.record.dataCentre, server.record.spot);
        if (!server.leavesAt || *server.leavesAt > m_seconds) {
            ++entry;
            continue;
        }
        m_table.remove(entry->first);
        entry = m_servers.erase(entry);
    }
    const double missing = std::max(0.0, demand.prefillEngines - ready(EngineRole::Prefill))
        + std::max(0.0, demand.decodeEngines - ready(EngineRole::Decode));
    missingEngineSeconds += stepSeconds * missing;
    worstMissing = std::max(worstMissing, missing);
    const int prefilling = ready(EngineRole::Prefill);
    const int decoding = ready(EngineRole::Decode);
    fewestReady = std::min(fewestReady, prefilling + decoding);
    fewestOfRole = std::min({ fewestOfRole, prefilling, decoding });
}

void SimulatedPool::run(double untilSeconds)
{
    while (m_seconds < untilSeconds) {
        advance();
        publish();
        if (!rule && m_step % poolSteps == 0)
            decidePool();
        if (rule && m_step % ruleSteps == 0) {
            for (const auto& order : rule(*this))
                orders += apply(order) ? 1 : 0;
        }
        if (m_step % roleSteps == 0)
            decideRoles();
    }
}

} // namespace almondscale
