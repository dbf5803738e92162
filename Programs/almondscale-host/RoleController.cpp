#include "RoleController.h"

#include "Core/LogEvent.h"
#include "Core/RandomSource.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "platform/EngineCalls.h"

namespace almondscale {

namespace {

    // How often the lease and the split are checked.
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

    LeaseSettings leaseSettings(Nanoseconds lease)
    {
        LeaseSettings settings;
        settings.duration = lease;
        // Covers clock drift between machines, which is small, and late scheduling of the process.
        settings.clockDriftMargin = lease / 4;
        settings.renewInterval = lease / 3;
        settings.watchInterval = lease * 2 / 3;
        settings.retryInterval = lease / 10;
        // Engines must not get orders of two holders within one lease duration.
        settings.orderSettleTime = lease + std::chrono::milliseconds(300);
        return settings;
    }

} // namespace

RoleController::RoleController(platform::StoreClient& store, ConnectionPool& pool, const RouteTable& routes,
    const BackendTable& backends, HostId host, Nanoseconds lease, Hooks hooks)
    : m_store(store)
    , m_pool(pool)
    , m_routes(routes)
    , m_backends(backends)
    , m_host(std::move(host))
    , m_lease(roleLeaseKey, m_host, Incarnation(systemRandom()()), leaseSettings(lease))
    , m_split(backends)
    , m_hooks(std::move(hooks))
{
}

awaitable<void> RoleController::run()
{
    for (;;) {
        // The holder keeps the lease as long as it can renew it, even if it is no longer a candidate.
        if (!m_hooks.isCandidate() && !m_lease.holds(bootTime()) && !m_releasing) {
            co_await sleepFor(controlInterval);
            continue;
        }
        if (auto call = m_lease.nextCall(bootTime())) {
            auto answer = co_await m_store.perform(std::move(*call));
            m_lease.onAnswer(bootTime(), answer);
            logLeaseChange();
            continue;
        }
        logLeaseChange();
        if (m_lease.mayIssueOrders(bootTime()))
            co_await reassignRoles();
        co_await sleepFor(controlInterval);
    }
}

void RoleController::release()
{
    m_releasing = true;
    m_lease.release();
}

void RoleController::logLeaseChange()
{
    const bool holding = m_lease.holds(bootTime());
    if (holding != m_holding)
        LogEvent(holding ? "lease_taken" : "lease_ended").with("fencing", m_lease.fencing().count());
    m_holding = holding;
}

awaitable<void> RoleController::reassignRoles()
{
    const auto demand = m_hooks.demand();
    const auto manifest = m_routes.manifest();
    for (const auto& entry : manifest->services) {
        if (!entry.second.engine)
            continue;
        const auto found = demand.find(entry.first);
        const auto assignments
            = m_split.decide(entry.first, found == demand.end() ? EngineDemand() : found->second, bootTime());
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
    if (!m_lease.mayIssueOrders(bootTime()))
        co_return;
    auto call = platform::encodeRoleOrder(
        { assignment.engine, assignment.role, m_host, m_lease.fencing(), report->accepted });
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
