#pragma once

#include "Core/MonotonicTime.h"
#include "Forwarding/RequestSummary.h"
#include "Serving/BadParts.h"
#include "Serving/CrashSubject.h"

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
    void onStoreReading(const char* table, bool answered);
    // The store came back from an older copy of itself.
    void onStoreRestored();
    void setOpenRequests(int);
    void setManifest(std::int64_t version);
    void setHosts(int count, bool reader);
    void setBackends(std::size_t count);
    void setLimitedServers(std::size_t count);
    // Servers whose speed differs from that of the typical one, and the highest factor.
    void setUnevenServers(std::size_t count, double slowestFactor);

    // All metrics in the Prometheus text format.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
