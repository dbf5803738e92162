#include "HostMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <set>

namespace almondscale {

namespace {

    // In seconds; they cover the latency targets of 150 to 1,500 ms and time-outs of a few seconds.
    const prometheus::Histogram::BucketBoundaries latencyBounds { 0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 0.8, 1.2,
        2, 3, 5 };

    // In seconds, around the bounds for a manifest of 2 to 4 s.
    const prometheus::Histogram::BucketBoundaries delayBounds { 0.5, 1, 1.5, 2, 2.5, 3, 4, 6, 10 };

} // namespace

class HostMetrics::Impl {
public:
    template <typename Kind>
    static prometheus::Family<Kind>& family(prometheus::detail::Builder<Kind> builder,
        prometheus::Registry& registry, const char* name, const char* help)
    {
        return builder.Name(name).Help(help).Register(registry);
    }

    prometheus::Gauge& gauge(const char* name, const char* help)
    {
        return family(prometheus::BuildGauge(), registry, name, help).Add({});
    }

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests = family(prometheus::BuildCounter(), registry,
        "almondscale_requests_total", "Requests of callers that ended, by route and outcome.");
    prometheus::Family<prometheus::Histogram>& latency = family(prometheus::BuildHistogram(), registry,
        "almondscale_request_seconds", "Time from a request's arrival to its end, by route.");
    prometheus::Counter& furtherSends = family(prometheus::BuildCounter(), registry,
        "almondscale_further_sends_total", "Sends to backend servers beyond the first of each request.")
                                            .Add({});
    prometheus::Family<prometheus::Counter>& brokenRuns
        = family(prometheus::BuildCounter(), registry, "almondscale_broken_runs_total",
            "Sends that a backend server broke off, by whether the server had ended.");
    prometheus::Family<prometheus::Counter>& crashRefusals
        = family(prometheus::BuildCounter(), registry, "almondscale_crash_refusals_total",
            "Requests refused because of what they share with requests that crashed servers: a part of the "
            "prompt, or the whole content.");
    prometheus::Family<prometheus::Gauge>& badParts
        = family(prometheus::BuildGauge(), registry, "almondscale_bad_part_servers",
            "Servers crashed by a part of prompts that requests are refused for, by part.");
    prometheus::Family<prometheus::Counter>& serverNotices
        = family(prometheus::BuildCounter(), registry, "almondscale_server_words_total",
            "Answers in which a backend server newly said that it leaves, or asked for a pause.");
    prometheus::Family<prometheus::Counter>& limitEvents
        = family(prometheus::BuildCounter(), registry, "almondscale_server_limit_events_total",
            "Limits of backend servers that were named, changed, ended, or began to hold requests back, by "
            "event.");
    prometheus::Counter& storeRestored
        = family(prometheus::BuildCounter(), registry, "almondscale_store_restored_total",
            "Times at which the platform's store was found to have come back from an older copy.")
              .Add({});
    prometheus::Counter& limitedSends = family(prometheus::BuildCounter(), registry,
        "almondscale_limited_sends_total", "Requests sent to backend servers that have a limit.")
                                            .Add({});
    // Added with their first value, as only deployments with keys have them.
    prometheus::Family<prometheus::Counter>* keyRefusals = nullptr;
    prometheus::Gauge* proofAge = nullptr;
    prometheus::Gauge& unevenServers = gauge("almondscale_uneven_servers",
        "Backend servers whose speed differs from that of the typical server of their service.");
    prometheus::Gauge& slowestFactor = gauge("almondscale_slowest_server_factor",
        "How much longer the slowest backend server takes than the typical one.");
    prometheus::Gauge& limitedServers
        = gauge("almondscale_limited_servers", "Backend servers that have a limit.");
    // Registered with their first value, since most deployments report no usage.
    prometheus::Family<prometheus::Counter>* usageReports = nullptr;
    prometheus::Counter* usageLate = nullptr;
    prometheus::Gauge* usageBacklog = nullptr;
    prometheus::Family<prometheus::Counter>& storeReadings = family(prometheus::BuildCounter(), registry,
        "almondscale_store_readings_total", "Readings of the store, by table and whether it answered.");
    prometheus::Family<prometheus::Gauge>& poolServers = family(prometheus::BuildGauge(), registry,
        "almondscale_pool_servers",
        "Servers of a service by data centre, kind, and whether they are wanted or registered; set by the "
        "host that orders them.");
    std::set<prometheus::Gauge*> poolGauges;
    prometheus::Gauge& openRequests = gauge("almondscale_open_requests", "Requests that are being served.");
    prometheus::Gauge& manifest = gauge("almondscale_manifest_version", "The manifest in force.");
    prometheus::Gauge& manifestAge = gauge("almondscale_manifest_age_seconds",
        "Time since the manifest in force was last known to be the store's newest.");
    prometheus::Gauge& manifestBound
        = gauge("almondscale_manifest_bound_seconds", "Time within which a manifest has to be in force.");
    prometheus::Family<prometheus::Counter>& outdatedDecisions
        = family(prometheus::BuildCounter(), registry, "almondscale_outdated_decisions_total",
            "Requests decided by a manifest that was older than its bound, by decision.");
    prometheus::Histogram& manifestDelay = family(prometheus::BuildHistogram(), registry,
        "almondscale_manifest_delay_seconds",
        "Upper limit of the time from the store's acknowledgement of a manifest until it was in force here.")
                                               .Add({}, delayBounds);
    prometheus::Gauge& hosts = gauge("almondscale_hosts", "Entry hosts that are known, this one included.");
    prometheus::Gauge& reader
        = gauge("almondscale_reader", "1 if this host reads the store for its data centre.");
    // Of the bad parts that are known now.
    std::vector<prometheus::Gauge*> badPartGauges;
    prometheus::Gauge& memoryHeld = gauge(
        "almondscale_memory_held_bytes", "Memory held for callers and servers, as counted by the host.");
    prometheus::Gauge& memoryBudget
        = gauge("almondscale_memory_budget_bytes", "Memory that may be held for callers and servers.");
    prometheus::Family<prometheus::Gauge>& memoryByPhase = family(prometheus::BuildGauge(), registry,
        "almondscale_memory_bytes", "Memory held for callers, by what the messages wait for.");
    prometheus::Family<prometheus::Gauge>& memoryEnds = family(prometheus::BuildGauge(), registry,
        "almondscale_memory_ended", "Messages and connections ended since the start of the host, by reason.");
    prometheus::Family<prometheus::Gauge>& connections = family(prometheus::BuildGauge(), registry,
        "almondscale_connections", "Open connections, by the other side.");
    prometheus::Counter& turnedAway = family(prometheus::BuildCounter(), registry,
        "almondscale_callers_turned_away_total", "Connections of callers closed because there were too many.")
                                          .Add({});
    prometheus::Gauge& backends = gauge("almondscale_backends", "Backend servers that are known.");
};

HostMetrics::HostMetrics()
    : m_impl(std::make_unique<Impl>())
{
}

HostMetrics::~HostMetrics() = default;

void HostMetrics::onRequestEnd(const RequestSummary& end)
{
    m_impl->requests.Add({ { "route", end.route }, { "outcome", end.outcome } }).Increment();
    m_impl->latency.Add({ { "route", end.route } }, latencyBounds)
        .Observe(std::chrono::duration<double>(end.duration).count());
    m_impl->furtherSends.Increment(end.furtherSends);
}

void HostMetrics::onBrokenRun(bool serverEnded)
{
    m_impl->brokenRuns.Add({ { "server_ended", serverEnded ? "yes" : "no" } }).Increment();
}

void HostMetrics::onCrashRefusal(const CrashSubject& subject)
{
    m_impl->crashRefusals.Add({ { "shared", subject.isPart ? "part" : "content" } }).Increment();
}

void HostMetrics::setBadParts(const std::vector<BadParts>& found)
{
    for (auto* gauge : m_impl->badPartGauges)
        m_impl->badParts.Remove(gauge);
    m_impl->badPartGauges.clear();
    for (const auto& bad : found) {
        auto& gauge = m_impl->badParts.Add({ { "part", partsText(bad.parts) } });
        gauge.Set(static_cast<double>(bad.servers.size()));
        m_impl->badPartGauges.push_back(&gauge);
    }
}

void HostMetrics::onServerNotice(const char* word)
{
    m_impl->serverNotices.Add({ { "word", word } }).Increment();
}

void HostMetrics::onLimitEvent(const char* event)
{
    m_impl->limitEvents.Add({ { "event", event } }).Increment();
}

void HostMetrics::onLimitedSend() { m_impl->limitedSends.Increment(); }

void HostMetrics::onKeyRefusal(const char* reason)
{
    if (!m_impl->keyRefusals)
        m_impl->keyRefusals = &Impl::family(prometheus::BuildCounter(), m_impl->registry,
            "almondscale_key_refusals_total", "Requests refused because of their keys, by reason.");
    m_impl->keyRefusals->Add({ { "reason", reason } }).Increment();
}

void HostMetrics::setProofAge(Nanoseconds age)
{
    if (!m_impl->proofAge)
        m_impl->proofAge = &m_impl->gauge("almondscale_manifest_proof_age_seconds",
            "Time since the manifest in force was proven to be the newest.");
    m_impl->proofAge->Set(std::chrono::duration<double>(age).count());
}

void HostMetrics::setLimitedServers(std::size_t count)
{
    m_impl->limitedServers.Set(static_cast<double>(count));
}

void HostMetrics::setMemory(const MemoryBudget& memory, std::size_t callers, std::size_t servers)
{
    m_impl->memoryHeld.Set(static_cast<double>(memory.heldBytes()));
    m_impl->memoryBudget.Set(static_cast<double>(memory.size()));
    for (std::size_t i = 0; i < memoryPhaseCount; ++i) {
        const auto phase = static_cast<MemoryPhase>(i);
        m_impl->memoryByPhase.Add({ { "phase", memoryPhaseName(phase) } })
            .Set(static_cast<double>(memory.heldBytes(phase)));
    }
    for (std::size_t i = 0; i < memoryEndCount; ++i) {
        const auto end = static_cast<MemoryEnd>(i);
        m_impl->memoryEnds.Add({ { "reason", memoryEndName(end) } })
            .Set(static_cast<double>(memory.ended(end)));
    }
    m_impl->connections.Add({ { "side", "callers" } }).Set(static_cast<double>(callers));
    m_impl->connections.Add({ { "side", "servers" } }).Set(static_cast<double>(servers));
}

void HostMetrics::onCallerTurnedAway() { m_impl->turnedAway.Increment(); }

void HostMetrics::setUnevenServers(std::size_t count, double slowestFactor)
{
    m_impl->unevenServers.Set(static_cast<double>(count));
    m_impl->slowestFactor.Set(slowestFactor);
}

void HostMetrics::onStoreReading(const char* table, bool answered)
{
    m_impl->storeReadings.Add({ { "table", table }, { "answered", answered ? "yes" : "no" } }).Increment();
}

void HostMetrics::onStoreRestored() { m_impl->storeRestored.Increment(); }

void HostMetrics::onUsageReport(UsageOutcome outcome, std::int64_t windows)
{
    if (!m_impl->usageReports)
        m_impl->usageReports = &Impl::family(prometheus::BuildCounter(), m_impl->registry,
            "almondscale_usage_reports_total",
            "Windows whose usage was reported, skipped since the platform refused the report, or left out "
            "since an earlier holder may have reported it before the store lost rows.");
    m_impl->usageReports->Add({ { "outcome", usageOutcomeName(outcome) } })
        .Increment(static_cast<double>(windows));
}

void HostMetrics::onUsageLate()
{
    if (!m_impl->usageLate)
        m_impl->usageLate = &Impl::family(prometheus::BuildCounter(), m_impl->registry,
            "almondscale_usage_late_total", "Windows whose usage was not reported when it was due.")
                                 .Add({});
    m_impl->usageLate->Increment();
}

void HostMetrics::setUsageBacklog(std::int64_t windows)
{
    if (!m_impl->usageBacklog)
        m_impl->usageBacklog = &m_impl->gauge("almondscale_usage_backlog",
            "Windows that have ended and whose usage is not reported; 0 unless this host reports it.");
    m_impl->usageBacklog->Set(static_cast<double>(windows));
}

void HostMetrics::setOpenRequests(int count) { m_impl->openRequests.Set(count); }

void HostMetrics::setManifest(const ManifestState& state)
{
    m_impl->manifest.Set(static_cast<double>(state.version));
    m_impl->manifestAge.Set(std::chrono::duration<double>(state.age).count());
    m_impl->manifestBound.Set(std::chrono::duration<double>(state.bound).count());
}

void HostMetrics::onOutdatedDecision(const char* decision)
{
    m_impl->outdatedDecisions.Add({ { "decision", decision } }).Increment();
}

void HostMetrics::onManifestInForce(Nanoseconds maxDelay)
{
    m_impl->manifestDelay.Observe(std::chrono::duration<double>(maxDelay).count());
}

void HostMetrics::setHosts(int count, bool reader)
{
    m_impl->hosts.Set(count);
    m_impl->reader.Set(reader ? 1 : 0);
}

void HostMetrics::setBackends(std::size_t count) { m_impl->backends.Set(static_cast<double>(count)); }

void HostMetrics::setPool(const PoolOrder& wanted, int registered)
{
    for (const bool isWanted : { true, false }) {
        auto& gauge = m_impl->poolServers.Add({ { "service", wanted.service.text() },
            { "data_centre", wanted.dataCentre.text() }, { "kind", wanted.spot ? "spot" : "reserved" },
            { "state", isWanted ? "wanted" : "registered" } });
        gauge.Set(isWanted ? wanted.servers : registered);
        m_impl->poolGauges.insert(&gauge);
    }
}

void HostMetrics::clearPools()
{
    for (auto* gauge : m_impl->poolGauges)
        m_impl->poolServers.Remove(gauge);
    m_impl->poolGauges.clear();
}

std::string HostMetrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_impl->registry.Collect());
}

} // namespace almondscale
