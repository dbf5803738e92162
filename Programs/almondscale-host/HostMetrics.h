#pragma once

#include "Core/MonotonicTime.h"
#include "Forwarding/RequestEnd.h"

#include <memory>
#include <string>

namespace almondscale {

// The counters and histograms that a host serves to its operators.
class HostMetrics {
public:
    HostMetrics();
    ~HostMetrics();

    void onRequestEnd(const RequestEnd&);
    void onBrokenRun(bool serverEnded);
    // A server said in an answer that it leaves, or asked for a pause.
    void onServerNotice(const char* word);
    void onStoreReading(const char* table, bool answered);
    void setOpenRequests(int);
    void setManifest(std::int64_t version);
    void setHosts(int count, bool reader);
    void setBackends(std::size_t count);

    // All of them in Prometheus' text format.
    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
