#include "DutyLease.h"

#include "Core/LogEvent.h"
#include "Core/RandomSource.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"

namespace almondscale {

namespace {

    constexpr Nanoseconds checkInterval = std::chrono::milliseconds(200);

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

DutyLease::DutyLease(
    platform::StoreClient& store, HostId host, Nanoseconds duration, std::function<bool()> isCandidate)
    : m_store(store)
    , m_host(std::move(host))
    , m_lease(roleLeaseKey, m_host, Incarnation(systemRandom()()), leaseSettings(duration))
    , m_isCandidate(std::move(isCandidate))
{
}

awaitable<void> DutyLease::run()
{
    for (;;) {
        // The holder keeps the lease as long as it can renew it, even if it is no longer a candidate.
        const bool competes = m_isCandidate() || m_lease.holds(bootTime()) || m_releasing;
        auto call = competes ? m_lease.nextCall(bootTime()) : std::nullopt;
        if (call) {
            auto answer = co_await m_store.perform(std::move(*call));
            m_lease.onAnswer(bootTime(), answer);
        }
        logChange();
        if (!call)
            co_await sleepFor(checkInterval);
    }
}

void DutyLease::release()
{
    m_releasing = true;
    m_lease.release();
}

bool DutyLease::mayAct() const { return m_lease.mayIssueOrders(bootTime()); }

void DutyLease::logChange()
{
    const bool holding = m_lease.holds(bootTime());
    if (holding != m_holding)
        LogEvent(holding ? "lease_taken" : "lease_ended").with("fencing", m_lease.fencing().count());
    m_holding = holding;
}

} // namespace almondscale
