#include "AuthorityDuty.h"

#include "Http/JsonBuilder.h"

namespace almondscale {

namespace {

    constexpr auto stepInterval = std::chrono::seconds(1);
    const std::string demandPrefix = "demand/";

    bool hasEngines(const RuleSet& rules, const ModelName& model, const DataCentre& dataCentre)
    {
        for (const EngineRule& engine : rules.engines) {
            if (engine.model == model && engine.dataCentre == dataCentre)
                return true;
        }
        return false;
    }

} // namespace

AuthorityDuty::AuthorityDuty(
    const PoolAuthorityParts& parts, const DemandCounters& demand, std::function<bool()> isCandidate)
    : m_parts(parts)
    , m_demand(demand)
    , m_isCandidate(std::move(isCandidate))
    , m_duty(stepInterval, [this] { step(); })
{
}

void AuthorityDuty::stop()
{
    m_duty.stop();
    const std::lock_guard lock(m_mutex);
    m_pools.clear();
}

void AuthorityDuty::step()
{
    followRules();
    shareDemand();
}

void AuthorityDuty::followRules()
{
    const auto rules = m_parts.rules.get();
    if (!rules)
        return;
    const bool candidate = m_isCandidate();
    const std::lock_guard lock(m_mutex);
    if (!candidate) {
        // Leases held so far are given up in order.
        m_pools.clear();
        return;
    }
    for (const ModelRule& rule : rules->models) {
        if (m_pools.count(rule.model) > 0 || !hasEngines(*rules, rule.model, m_parts.settings.dataCentre))
            continue;
        auto pool = std::make_unique<PoolAuthority>(rule.model, m_parts);
        pool->start();
        m_pools.emplace(rule.model, std::move(pool));
    }
    for (auto pool = m_pools.begin(); pool != m_pools.end();) {
        if (hasEngines(*rules, pool->first, m_parts.settings.dataCentre))
            ++pool;
        else
            pool = m_pools.erase(pool);
    }
}

void AuthorityDuty::shareDemand()
{
    const auto rules = m_parts.rules.get();
    if (!rules)
        return;
    for (const ModelRule& rule : rules->models) {
        const DemandReport report = m_demand.report(rule.model, m_parts.clock());
        m_parts.membership.publish(
            demandPrefix + rule.model.text(), writeDemandReport(report), ItemScope::DataCentre);
    }
}

std::error_code AuthorityDuty::order(const EngineId& id, OrderKind kind, const std::string& value)
{
    const auto engine = m_parts.engines.engine(id);
    if (!engine)
        return ErrorKind::NotFound;
    const std::lock_guard lock(m_mutex);
    const auto pool = m_pools.find(engine->view.model);
    if (engine->view.dataCentre != m_parts.settings.dataCentre || pool == m_pools.end())
        return ErrorKind::LeaseLost;
    return pool->second->order(id, kind, value) ? std::error_code() : make_error_code(ErrorKind::LeaseLost);
}

std::string AuthorityDuty::json() const
{
    JsonBuilder json;
    json.beginArray("leases");
    const std::lock_guard lock(m_mutex);
    for (const auto& [model, pool] : m_pools)
        json.rawElement(pool->json());
    return json.endArray().finish();
}

} // namespace almondscale
