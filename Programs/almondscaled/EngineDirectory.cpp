#include "EngineDirectory.h"

namespace almondscale {

namespace {

    // An engine that leaves this many polls in a row unanswered gets no new work.
    constexpr int failedPollsUntilDead = 2;

} // namespace

EngineDirectory::EngineDirectory(const RouterOptions& routing, const AdmissionOptions& admission)
    : m_routing(routing)
    , m_admission(admission)
{
}

void EngineDirectory::setRules(const RuleSet& rules)
{
    const std::lock_guard lock(m_mutex);
    std::map<EngineId, EngineRecord> engines;
    for (const EngineRule& rule : rules.engines) {
        EngineRecord record;
        const auto known = m_engines.find(rule.engine);
        if (known != m_engines.end() && known->second.view.address == rule.address)
            record = known->second;
        else
            record.view.role = rule.role;
        record.view.id = rule.engine;
        record.view.model = rule.model;
        record.view.dataCentre = rule.dataCentre;
        record.view.address = rule.address;
        record.checksFencing = rule.checksFencing;
        engines.emplace(rule.engine, record);
    }
    m_engines = std::move(engines);
    std::map<ModelName, std::shared_ptr<ModelPool>> pools;
    for (const ModelRule& rule : rules.models) {
        const auto known = m_pools.find(rule.model);
        pools[rule.model]
            = known != m_pools.end() ? known->second : std::make_shared<ModelPool>(m_routing, m_admission);
    }
    m_pools = std::move(pools);
    publish();
}

void EngineDirectory::onReport(const EngineId& engine, const LoadReport& report, EngineRole role)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    EngineRecord& record = found->second;
    const bool changed = !record.reachable || record.view.role != role;
    record.reachable = true;
    record.failedPolls = 0;
    record.boot = report.boot;
    record.load = report;
    record.view.role = role;
    if (changed)
        publish();
    const auto pool = m_pools.find(record.view.model);
    if (pool != m_pools.end())
        pool->second->onLoadReport(engine, report);
}

void EngineDirectory::onPollFailed(const EngineId& engine)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return;
    EngineRecord& record = found->second;
    if (++record.failedPolls < failedPollsUntilDead || !record.reachable)
        return;
    record.reachable = false;
    publish();
}

void EngineDirectory::onRefused(const EngineId& engine)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || !found->second.reachable)
        return;
    found->second.reachable = false;
    publish();
}

void EngineDirectory::setClosing(const std::set<EngineId>& closing) { replace(m_closing, closing); }

void EngineDirectory::setLeaving(const std::set<EngineId>& leaving) { replace(m_leaving, leaving); }

void EngineDirectory::setReserved(const std::set<EngineId>& reserved) { replace(m_reserved, reserved); }

void EngineDirectory::replace(std::set<EngineId>& set, const std::set<EngineId>& by)
{
    const std::lock_guard lock(m_mutex);
    if (set == by)
        return;
    set = by;
    publish();
}

void EngineDirectory::setLivePeers(int peers)
{
    for (const auto& pool : pools())
        pool->setLivePeers(peers);
}

std::shared_ptr<ModelPool> EngineDirectory::pool(const ModelName& model) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pools.find(model);
    return found == m_pools.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<ModelPool>> EngineDirectory::pools() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::shared_ptr<ModelPool>> all;
    for (const auto& [model, pool] : m_pools)
        all.push_back(pool);
    return all;
}

std::vector<EngineRecord> EngineDirectory::engines() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<EngineRecord> all;
    for (const auto& [id, record] : m_engines)
        all.push_back(record);
    return all;
}

std::optional<EngineRecord> EngineDirectory::engine(const EngineId& id) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_engines.find(id);
    if (found == m_engines.end())
        return std::nullopt;
    return found->second;
}

EngineAvailability EngineDirectory::availabilityOf(const EngineRecord& record)
{
    if (record.leaving)
        return EngineAvailability::Leaving;
    if (record.closing || record.reserved)
        return EngineAvailability::Closing;
    if (record.reachable)
        return EngineAvailability::Open;
    return record.boot == 0 ? EngineAvailability::Unknown : EngineAvailability::Dead;
}

void EngineDirectory::publish()
{
    std::map<ModelName, std::vector<EngineView>> views;
    for (auto& [id, record] : m_engines) {
        record.closing = m_closing.count(id) > 0;
        record.leaving = m_leaving.count(id) > 0;
        record.reserved = m_reserved.count(id) > 0;
        record.view.reachable = record.reachable;
        record.view.state = availabilityOf(record);
        views[record.view.model].push_back(record.view);
    }
    for (const auto& [model, pool] : m_pools)
        pool->setEngines(views[model]);
}

} // namespace almondscale
