#include "OrderDuty.h"

#include "Core/LogEvent.h"
#include "Core/RandomSource.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Signal.h"
#include "platform/EngineCalls.h"

namespace almondscale {

namespace {

    // How often the lease and the split are looked at.
    constexpr Nanoseconds step = std::chrono::milliseconds(200);
    // An engine answers an order or a report in a few milliseconds.
    constexpr Nanoseconds answerTime = std::chrono::milliseconds(500);
    // News passes three links, each of which tells it within 20 to 60 ms.
    constexpr Nanoseconds announceTime = std::chrono::milliseconds(200);
    // From a change of role until hosts read it in the engine's registration.
    constexpr Nanoseconds registrationLag = std::chrono::milliseconds(2500);
    // An order accepted by an engine, or one that holds already.
    constexpr int accepted = 202;
    constexpr int holdsAlready = 200;

    LeaseSettings leaseSettings(Nanoseconds lease)
    {
        LeaseSettings settings;
        settings.duration = lease;
        // Clocks of machines differ by little in their speed; the rest covers a late wake-up.
        settings.margin = lease / 4;
        settings.renewInterval = lease / 3;
        settings.watchInterval = lease * 2 / 3;
        settings.retryInterval = lease / 10;
        // Engines may not get orders of two holders within a lease's time.
        settings.orderSettleTime = lease + std::chrono::milliseconds(300);
        return settings;
    }

} // namespace

OrderDuty::OrderDuty(platform::StoreClient& store, ConnectionPool& pool, const RouteTable& routes,
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

awaitable<void> OrderDuty::run()
{
    for (;;) {
        // A host that holds the lease keeps it while it can, whoever reads.
        if (!m_hooks.competes() && !m_lease.holds(bootTime()) && !m_releasing) {
            co_await sleepFor(step);
            continue;
        }
        if (auto call = m_lease.nextCall(bootTime())) {
            auto answer = co_await m_store.perform(std::move(*call));
            m_lease.onAnswer(bootTime(), answer);
            noteHolding();
            continue;
        }
        noteHolding();
        if (m_lease.mayOrder(bootTime()))
            co_await giveOrders();
        co_await sleepFor(step);
    }
}

void OrderDuty::release()
{
    m_releasing = true;
    m_lease.release();
}

void OrderDuty::noteHolding()
{
    const bool holding = m_lease.holds(bootTime());
    if (holding != m_holding)
        LogEvent(holding ? "lease_taken" : "lease_ended").with("fencing", m_lease.fencing().count());
    m_holding = holding;
}

awaitable<void> OrderDuty::giveOrders()
{
    const auto demand = m_hooks.demand();
    const auto manifest = m_routes.manifest();
    for (const auto& entry : manifest->services) {
        if (!entry.second.engine)
            continue;
        const auto found = demand.find(entry.first);
        const auto wanted
            = m_split.decide(entry.first, found == demand.end() ? EngineDemand() : found->second, bootTime());
        if (wanted.empty())
            continue;
        for (const auto& assignment : wanted)
            announce(assignment, entry.second.engine->roleChange);
        // Requests that are on their way to the engines are taken before the order.
        co_await sleepFor(announceTime);
        for (const auto& assignment : wanted)
            co_await order(assignment);
    }
}

void OrderDuty::announce(const RoleAssignment& assignment, Nanoseconds roleChange)
{
    const auto* engine = m_backends.find(assignment.engine);
    if (!engine)
        return;
    const auto until = Deadline::after(bootTime(), announceTime + roleChange + registrationLag);
    m_hooks.onTurn({ lifetimeOf(engine->record), assignment.role, until });
}

awaitable<void> OrderDuty::order(RoleAssignment assignment)
{
    const auto* engine = m_backends.find(assignment.engine);
    if (!engine)
        co_return;
    const auto address = engine->record.address;
    const auto report = co_await platform::readEngineReport(
        m_pool, assignment.engine, address, Deadline::after(bootTime(), answerTime));
    if (report && report->leaving) {
        m_hooks.onLeaving(assignment.engine);
        co_return;
    }
    if (!report || report->changing || report->role == assignment.role) {
        // Its registration lags behind, or it does not answer: it counts as ordered for now.
        m_split.onOrdered(assignment, bootTime());
        co_return;
    }
    if (!m_lease.mayOrder(bootTime()))
        co_return;
    auto call = platform::encodeRoleOrder(
        { assignment.engine, assignment.role, m_host, m_lease.fencing(), report->accepted });
    m_split.onOrdered(assignment, bootTime());
    const auto deadline = std::min(m_lease.validUntil(), Deadline::after(bootTime(), answerTime));
    const auto reply
        = co_await callHttp(m_pool, address, std::move(call.head), std::move(call.body), deadline);
    const int status = reply ? reply.value().head.status : 0;
    LogEvent("role_order")
        .with("engine", assignment.engine)
        .with("role", engineRoleName(assignment.role))
        .with("fencing", m_lease.fencing().count())
        .with("accepted_before", report->accepted.count())
        .with("status", status);
    if (reply && platform::saysLeaving(reply.value().head.fields))
        m_hooks.onLeaving(assignment.engine);
    // Without an answer the order may still be carried out, so it stays noted.
    if (reply && status != accepted && status != holdsAlready)
        m_split.onRefused(assignment.engine);
}

} // namespace almondscale
