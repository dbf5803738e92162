#pragma once

#include "Core/MonotonicTime.h"
#include "Forwarding/MemoryBudget.h"
#include "Forwarding/RequestSummary.h"
#include "Serving/BadParts.h"
#include "Serving/CrashSubject.h"
#include "Serving/ManifestState.h"
#include "Serving/PoolOrder.h"
#include "Serving/UsageOutcome.h"

#include <memory>
#include <string>
#include <vector>

namespace almondscale {

// The metrics that a host exports to Prometheus.
class HostMetrics {
public:
    HostMetrics();
    ~HostMetrics();

    void onRequestEnd(const RequestSummary&);
    void onBrokenRun(bool serverEnded);
    void onCrashRefusal(const CrashSubject&);
    void setBadParts(const std::vector<BadParts>&);
    // A response newly announced that its server is leaving, or asked for a pause.
    void onServerNotice(const char* word);
    // A server named, changed or ended its limit, or the limit holds requests back.
    void onLimitEvent(const char* event);
    void onLimitedSend();
    // A request was refused because of its key.
    void onKeyRefusal(const char* reason);
    void setProofAge(Nanoseconds);
    void onStoreReading(const char* table, bool answered);
    // The store came back from an older copy of itself.
    void onStoreRestored();
    // How the reports of so many windows ended; one became late.
    void onUsageReport(UsageOutcome, std::int64_t windows);
    void onUsageLate();
    void setUsageBacklog(std::int64_t windows);
    void setOpenRequests(int);
    void setManifest(const ManifestState&);
    // A request was decided by a manifest that was not known to be the newest within its bound.
    void onOutdatedDecision(const char* decision);
    // A host has put a manifest in force, at most so long after the store acknowledged it.
    void onManifestInForce(Nanoseconds maxDelay);
    void setHosts(int count, bool reader);
    void setBackends(std::size_t count);
    void setLimitedServers(std::size_t count);
    // Servers of one kind in a data centre. Set only by the host that orders them.
    void setPool(const PoolOrder& wanted, int registered);
    // This host no longer orders servers.
    void clearPools();
    // What is held for callers and servers, and their connections.
    void setMemory(const MemoryBudget&, std::size_t callers, std::size_t servers);
    // A caller was turned away for lack of descriptors or memory.
    void onCallerTurnedAway();
    // Servers whose speed differs from that of the typical one, and the highest factor.
    void setUnevenServers(std::size_t count, double slowestFactor);

    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
