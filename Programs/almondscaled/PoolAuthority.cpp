#include "PoolAuthority.h"

#include "Authority/LeaseRow.h"
#include "Core/LogEvent.h"
#include "EngineStateReply.h"
#include "Http/JsonBuilder.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace almondscale {

namespace {

    constexpr auto leaseStep = std::chrono::milliseconds(50);
    constexpr auto orderStep = std::chrono::milliseconds(50);
    constexpr auto orderCallTimeout = std::chrono::seconds(2);
    const std::string demandPrefix = "demand/";

    LeaseSettings leaseSettings(const HostSettings& settings)
    {
        LeaseSettings lease;
        lease.duration = settings.lease;
        lease.clockDriftMargin = settings.leaseMargin;
        lease.renewInterval = settings.lease / 4;
        lease.watchInterval = settings.lease / 5;
        lease.orderSettleTime = settings.engineReadTimeout;
        return lease;
    }

    OrderSettings orderSettings(const HostSettings& settings)
    {
        OrderSettings order;
        order.closingTime = settings.orderTimeout;
        order.closingMargin = settings.orderTimeout / 6;
        return order;
    }

    RoleSettings roleSettings() { return {}; }

} // namespace

PoolAuthority::PoolAuthority(const ModelName& model, PoolAuthorityParts parts)
    : m_model(model)
    , m_parts(std::move(parts))
    , m_lease(Lease(leaseRowKey(m_parts.settings.dataCentre, model), m_parts.settings.host,
                  m_parts.incarnation, leaseSettings(m_parts.settings)),
          m_parts.table, m_parts.clock)
    , m_leaseDuty(leaseStep, [this] { driveLease(); })
    , m_orderDuty(orderStep, [this] { driveOrders(); })
{
}

PoolAuthority::~PoolAuthority() { stop(); }

void PoolAuthority::start()
{
    m_leaseDuty.start();
    m_orderDuty.start();
}

void PoolAuthority::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_stopping = true;
    }
    // The order in hand ends first, since the lease may be given up only when none is under way.
    m_orderDuty.stop();
    while (m_runner && m_runner->result() == OrderResult::None)
        driveOrders();
    m_leaseDuty.stop();
    m_lease.release();
    // A lease that cannot be given up now runs out by itself.
    while (!m_lease.lease().releaseDone() && m_lease.step()) { }
}

void PoolAuthority::driveLease()
{
    const bool held = m_lease.lease().holds(m_parts.clock());
    if (!m_lease.step())
        return;
    const Lease lease = m_lease.lease();
    const bool holds = lease.holds(m_parts.clock());
    if (holds != held)
        LogEvent(holds ? "lease_taken" : "lease_lost")
            .with("model", m_model)
            .with("fencing", lease.fencing());
}

void PoolAuthority::driveOrders()
{
    const Lease lease = m_lease.lease();
    const MonotonicTime now = m_parts.clock();
    if (m_runner) {
        while (m_runner->step(m_lease.lease())) { }
        if (m_runner->result() == OrderResult::None)
            return;
        LogEvent("order_ended").with("engine", m_ordered).with("end", orderResultName(m_runner->result()));
        const std::lock_guard lock(m_mutex);
        m_lastOrder = m_ordered.text() + " " + orderResultName(m_runner->result());
        m_runner.reset();
        return;
    }
    if (!lease.mayIssueOrders(now)) {
        // A successor, or this host when it returns, starts from fresh reports.
        m_policy.reset();
        return;
    }
    if (const auto requested = takeRequested())
        return begin(requested->engine, requested->kind, requested->value);
    if (m_parts.settings.rolesEnabled)
        decide(now);
}

bool PoolAuthority::order(const EngineId& engine, OrderKind kind, const std::string& value)
{
    const std::lock_guard lock(m_mutex);
    if (m_requested || !m_lease.lease().mayIssueOrders(m_parts.clock()))
        return false;
    m_requested = RequestedOrder { engine, kind, value };
    return true;
}

std::optional<RequestedOrder> PoolAuthority::takeRequested()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_requested, std::nullopt);
}

void PoolAuthority::decide(MonotonicTime now)
{
    if (!m_policy) {
        RoleHooks hooks;
        hooks.rules = [this] { return roleBounds(); };
        m_policy = std::make_unique<RolePolicy>(roleSettings(), std::move(hooks));
    }
    for (const SharedItem& item : m_parts.membership.items(demandPrefix + m_model.text())) {
        const auto member = m_parts.membership.member(item.host);
        const auto report = readDemandReport(item.value);
        if (report && member && member->dataCentre == m_parts.settings.dataCentre)
            m_policy->onDemand(item.host, *report, now);
    }
    m_policy->onEngines(engineStatuses(), now);
    for (const RoleChange& change : m_policy->decide(now)) {
        LogEvent("role_change")
            .with("engine", change.engine)
            .with("from", engineRoleName(change.from))
            .with("to", engineRoleName(change.to))
            .with("expected_gain", change.expectedGain);
        begin(change.engine, OrderKind::Role, engineRoleName(change.to));
        // One order at a time; the policy decides again when this one has ended.
        return;
    }
}

std::vector<RoleRule> PoolAuthority::roleBounds() const
{
    std::vector<RoleRule> bounds;
    const auto rules = m_parts.rules.get();
    if (!rules)
        return bounds;
    std::copy_if(rules->roles.begin(), rules->roles.end(), std::back_inserter(bounds),
        [this](const RoleRule& rule) { return rule.model == m_model; });
    return bounds;
}

void PoolAuthority::begin(const EngineId& engine, OrderKind kind, const std::string& value)
{
    m_ordered = engine;
    m_runner = std::make_unique<OrderRunner>(engine,
        OrderSequence(engine, kind, value, orderSettings(m_parts.settings)), port(), m_parts.table,
        m_parts.clock, orderCallTimeout);
}

std::vector<EngineStatus> PoolAuthority::engineStatuses() const
{
    std::vector<EngineStatus> statuses;
    for (const EngineRecord& engine : m_parts.engines.engines()) {
        if (engine.view.model != m_model || engine.view.dataCentre != m_parts.settings.dataCentre)
            continue;
        EngineStatus status;
        status.engine = engine.view.id;
        status.role = engine.view.role;
        status.reportedAt = engine.load.sampledAt;
        if (!engine.reachable)
            status.readiness = EngineReadiness::Down;
        else if (engine.leaving)
            status.readiness = EngineReadiness::Withdrawing;
        else if (engine.closing || engine.reserved)
            status.readiness = EngineReadiness::Changing;
        statuses.push_back(status);
    }
    return statuses;
}

EngineOrderCallbacks PoolAuthority::port()
{
    const auto address = [this](const EngineId& id) {
        const auto engine = m_parts.engines.engine(id);
        return engine ? engine->view.address : Address {};
    };
    EngineOrderCallbacks port;
    port.sendHead = [this, address](const EngineId& id, const EngineOrder& order, Deadline deadline) {
        return m_sender.sendHead(address(id), order, deadline);
    };
    port.sendLastByte
        = [this](const EngineId&, Deadline deadline) { return m_sender.sendLastByte(deadline); };
    port.abandon = [this](const EngineId&) { m_sender.abandon(); };
    port.readState = [address](const EngineId& id, Deadline deadline) {
        return askEngineState(address(id), deadline).state;
    };
    port.announceClosing = [this](const EngineId& id, OrderNumber order, Deadline ends) {
        m_parts.closings.announce(id, order, ends);
    };
    port.reopen = [this](const EngineId& id, OrderNumber) { m_parts.closings.withdraw(id); };
    port.acknowledgedByAll = [this](const EngineId& id, OrderNumber order) {
        return m_parts.closings.acknowledgedByAll(id, order);
    };
    return port;
}

std::string PoolAuthority::json() const
{
    const std::lock_guard lock(m_mutex);
    const Lease lease = m_lease.lease();
    const MonotonicTime now = m_parts.clock();
    JsonBuilder json;
    json.text("data_centre", m_parts.settings.dataCentre.text()).text("model", m_model.text());
    const auto& seen = lease.lastSeen();
    json.text("holder", seen && !seen->released ? seen->holder.text() : std::string());
    json.integer("fencing", seen ? static_cast<std::int64_t>(seen->fencing.count()) : 0);
    json.flag("held_here", lease.holds(now)).flag("may_order", lease.mayIssueOrders(now));
    json.text("last_order", m_lastOrder);
    return json.finish();
}

} // namespace almondscale
