#include "PoolController.h"

#include "Core/LogEvent.h"
#include "Core/Milliseconds.h"
#include "Forwarding/AsyncEvent.h"
#include "Forwarding/BootClock.h"
#include "Forwarding/Spawn.h"
#include "platform/DutyCodec.h"

#include <algorithm>

namespace almondscale {

namespace {

    // How often the size of the pools is checked. A reclaim gives about 2 s.
    constexpr Nanoseconds controlInterval = std::chrono::milliseconds(300);
    // Shorter than the time that a later holder waits before its first order.
    constexpr Nanoseconds callTimeout = std::chrono::seconds(2);
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    constexpr int firstClientError = 400;
    constexpr int statusTooManyRequests = 429;
    constexpr int firstServerError = 500;

    PoolAnswer answerOf(int status)
    {
        if (status == statusTooManyRequests)
            return PoolAnswer::Deferred;
        if (status >= firstSuccess && status < firstRedirect)
            return PoolAnswer::Accepted;
        // Unavailable servers (409), or an order that the platform does not permit.
        if (status >= firstClientError && status < firstServerError)
            return PoolAnswer::Refused;
        return PoolAnswer::Unknown;
    }

    const char* kindName(bool spot) { return spot ? "spot" : "reserved"; }

    std::string unavailableText(const std::set<std::pair<DataCentre, bool>>& kinds)
    {
        std::string text;
        for (const auto& [dataCentre, spot] : kinds) {
            if (!text.empty())
                text += ',';
            text += dataCentre.text() + '/' + kindName(spot);
        }
        return text;
    }

} // namespace

PoolController::PoolController(boost::asio::any_io_executor executor, DutyCalls& calls,
    const DutyLease& lease, const RouteTable& routes, const BackendTable& backends,
    std::set<DataCentre> dataCentres, Hooks hooks)
    : m_executor(std::move(executor))
    , m_calls(calls)
    , m_lease(lease)
    , m_routes(routes)
    , m_backends(backends)
    , m_dataCentres(std::move(dataCentres))
    , m_hooks(std::move(hooks))
{
}

awaitable<void> PoolController::run()
{
    for (;;) {
        if (!m_sizers.empty() && (!m_lease.mayAct() || m_fencing != m_lease.fencing())) {
            m_sizers.clear();
            m_hooks.onEnd();
        }
        if (m_lease.mayAct() && m_hooks.knowsServers()) {
            m_fencing = m_lease.fencing();
            sizePools();
        }
        co_await sleepFor(controlInterval);
    }
}

std::optional<PoolOutlook> PoolController::outlook(const ServiceName& service) const
{
    const auto sizer = m_sizers.find(service);
    if (sizer != m_sizers.end())
        return sizer->second.outlook();
    const auto manifest = m_routes.manifest();
    const auto spec = manifest->services.find(service);
    if (spec == manifest->services.end() || !spec->second.pool)
        return std::nullopt;
    // The first decision about the pool is yet to come; it precedes changes of roles.
    PoolOutlook unknown;
    unknown.starting = 1;
    return unknown;
}

void PoolController::sizePools()
{
    const auto demand = m_hooks.demand();
    const auto manifest = m_routes.manifest();
    for (const auto& [name, spec] : manifest->services) {
        if (!spec.engine || !spec.pool) {
            m_sizers.erase(name);
            continue;
        }
        const auto found = demand.find(name);
        const auto now = view(name, found == demand.end() ? EngineDemand() : found->second);
        if (now.servers.empty())
            continue;
        auto& sizer = m_sizers.try_emplace(name, name).first->second;
        for (const auto& decision : sizer.decide(*spec.pool, now, bootTime()))
            spawn(m_executor, send(decision));
        report(name, sizer);
    }
}

PoolView PoolController::view(const ServiceName& service, const EngineDemand& demand) const
{
    PoolView view;
    view.dataCentres = m_dataCentres;
    view.demand = demand;
    view.requestMs = m_hooks.requestMs(service);
    view.targetMs = targetMs(service);
    double slots = 0;
    for (const auto& entry : m_backends.all()) {
        const auto& record = entry.second.record;
        if (record.service != service || !record.role)
            continue;
        view.dataCentres.insert(record.dataCentre);
        view.servers.push_back(
            { record.dataCentre, record.spot, *record.role, m_backends.isLeaving(entry.second) });
        slots += record.slots;
    }
    if (!view.servers.empty())
        view.slots = slots / static_cast<double>(view.servers.size());
    return view;
}

double PoolController::targetMs(const ServiceName& service) const
{
    double shortest = 0;
    for (const auto& route : m_routes.manifest()->routes) {
        const bool serves = std::any_of(route.shares.begin(), route.shares.end(),
            [&](const RouteShare& share) { return share.service == service && share.weight > 0; });
        const double target = toMs(route.target);
        if (serves && target > 0 && (shortest <= 0 || target < shortest))
            shortest = target;
    }
    return shortest;
}

void PoolController::report(const ServiceName& service, const PoolSizer& sizer) const
{
    const auto registered = sizer.registered();
    for (const auto& [dataCentre, count] : sizer.wanted()) {
        for (const bool spot : { false, true })
            m_hooks.onPool({ service, dataCentre, count.of(spot), spot }, registered.at(dataCentre).of(spot));
    }
}

awaitable<void> PoolController::send(PoolDecision decision)
{
    const auto fencing = m_lease.fencing();
    const auto makeCall = [order = decision.order](const platform::DutyStamp& stamp) {
        return platform::encodePoolOrder(stamp, order);
    };
    const int status = co_await m_calls.send(makeCall, Deadline::after(bootTime(), callTimeout));
    const auto sizer = m_sizers.find(decision.order.service);
    LogEvent line("pool_order");
    line.with("service", decision.order.service)
        .with("data_centre", decision.order.dataCentre)
        .with("kind", kindName(decision.order.spot))
        .with("servers", decision.order.servers)
        .with("before", decision.before)
        .with("reason", poolReasonName(decision.reason))
        .with("fencing", fencing.count())
        .with("status", status);
    if (sizer == m_sizers.end() || fencing != m_fencing)
        co_return;
    const auto& figures = sizer->second.figures();
    line.with("prefill_engines", figures.demand.prefillEngines)
        .with("decode_engines", figures.demand.decodeEngines)
        .with("utilisation", figures.utilisation)
        .with("demand_known", figures.demandKnown)
        .with("needed", figures.needs.normal)
        .with("needed_one_lost", figures.needs.oneLost)
        .with("needed_two_lost", figures.needs.twoLost)
        .with("needed_reserved", figures.needs.reserved)
        .with("unavailable", unavailableText(sizer->second.unavailable(bootTime())));
    sizer->second.onAnswer(decision.order, answerOf(status), bootTime());
}

} // namespace almondscale
