#include "RoleController.h"

#include "Core/LogEvent.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "platform/EngineCalls.h"

namespace almondscale {

namespace {

    // How often the split is checked.
    constexpr Nanoseconds controlInterval = std::chrono::milliseconds(200);
    // Engines respond to orders and report calls within a few milliseconds.
    constexpr Nanoseconds callTimeout = std::chrono::milliseconds(500);
    // An update reaches all hosts over at most three links, in 20 to 60 ms each.
    constexpr Nanoseconds propagationTime = std::chrono::milliseconds(200);
    // Delay from a change of role until hosts read it in the engine's registration.
    constexpr Nanoseconds registrationLag = std::chrono::milliseconds(2500);
    // HTTP status of an order that the engine accepted, and of one whose role it already has.
    constexpr int statusAccepted = 202;
    constexpr int statusUnchanged = 200;

} // namespace

RoleController::RoleController(ConnectionPool& pool, const DutyLease& lease, const RouteTable& routes,
    const BackendTable& backends, Hooks hooks)
    : m_pool(pool)
    , m_lease(lease)
    , m_routes(routes)
    , m_backends(backends)
    , m_split(backends)
    , m_hooks(std::move(hooks))
{
}

awaitable<void> RoleController::run()
{
    for (;;) {
        if (m_lease.mayAct())
            co_await reassignRoles();
        co_await sleepFor(controlInterval);
    }
}

awaitable<void> RoleController::reassignRoles()
{
    const auto demand = m_hooks.demand();
    const auto manifest = m_routes.manifest();
    for (const auto& entry : manifest->services) {
        if (!entry.second.engine)
            continue;
        const auto found = demand.find(entry.first);
        const auto assignments = m_split.decide(entry.first,
            splitDemand(entry.first, found == demand.end() ? EngineDemand() : found->second), bootTime());
        if (assignments.empty())
            continue;
        for (const auto& assignment : assignments)
            announceRoleChange(assignment, entry.second.engine->roleChangeTime);
        // Requests that are already on the way to the engines arrive before the order.
        co_await sleepFor(propagationTime);
        for (const auto& assignment : assignments)
            co_await sendOrder(assignment);
    }
}

EngineDemand RoleController::splitDemand(const ServiceName& service, const EngineDemand& demand)
{
    const auto outlook = m_hooks.poolOutlook(service);
    m_split.setOutlook(service, outlook);
    // The same demand that the pool is sized for, so that both decisions agree on what each role needs.
    return outlook ? demandWithRequestTime(demand, m_hooks.requestMs(service)) : demand;
}

void RoleController::announceRoleChange(const RoleAssignment& assignment, Nanoseconds roleChange)
{
    const auto* engine = m_backends.find(assignment.engine);
    if (!engine)
        return;
    const auto until = Deadline::after(bootTime(), propagationTime + roleChange + registrationLag);
    m_hooks.onTurn({ lifetimeOf(engine->record), assignment.role, until });
}

awaitable<void> RoleController::sendOrder(RoleAssignment assignment)
{
    const auto* engine = m_backends.find(assignment.engine);
    if (!engine)
        co_return;
    const auto address = engine->record.address;
    const auto report = co_await platform::readEngineReport(
        m_pool, assignment.engine, address, Deadline::after(bootTime(), callTimeout));
    if (report && report->leaving) {
        m_hooks.onLeaving(assignment.engine);
        co_return;
    }
    if (!report || report->changing || report->role == assignment.role) {
        // The registration is out of date, or the engine does not respond: it counts as ordered
        // for now.
        m_split.onOrdered(assignment, bootTime());
        co_return;
    }
    if (!m_lease.mayAct())
        co_return;
    auto call = platform::encodeRoleOrder(
        { assignment.engine, assignment.role, m_lease.host(), m_lease.fencing(), report->accepted });
    m_split.onOrdered(assignment, bootTime());
    const auto deadline = std::min(m_lease.validUntil(), Deadline::after(bootTime(), callTimeout));
    const auto reply
        = co_await callHttp(m_pool, address, std::move(call.head), std::move(call.body), deadline);
    const int status = reply ? reply.value().head.status : 0;
    LogEvent("role_order")
        .with("engine", assignment.engine)
        .with("role", engineRoleName(assignment.role))
        .with("fencing", m_lease.fencing().count())
        .with("accepted_before", report->accepted.count())
        .with("status", status);
    if (reply && platform::isServerLeaving(reply.value().head.fields))
        m_hooks.onLeaving(assignment.engine);
    // An order without a response may still be carried out, so it stays recorded.
    if (reply && status != statusAccepted && status != statusUnchanged)
        m_split.onRefused(assignment.engine);
}

} // namespace almondscale
