#pragma once

#include "CompletionServer.h"
#include "HostContext.h"
#include "ServiceProxy.h"

#include <atomic>
#include <functional>

namespace almondscale {

// Sends the requests on the callers' port to what answers them.
class CallerFrontend {
public:
    CallerFrontend(HostContext&, Incarnation, Table, HolderLivenessCheck);

    void serve(const HttpRequest&, ReplyWriter&);

    // From now on the balancer is told to send no more.
    void drain() { m_draining = true; }
    // The requests that are being answered now.
    int running() const { return m_running; }
    bool ready() const;
    // Writes what the bookings still owe the table; call it once a second.
    void retryClosings() { m_services.retryClosings(); }

private:
    void serveCounted(const HttpRequest&, ReplyWriter&);
    HttpResponse readiness() const;
    HttpResponse models() const;

    HostContext& m_context;
    CompletionServer m_completions;
    ServiceProxy m_services;
    std::atomic<bool> m_draining { false };
    std::atomic<int> m_running { 0 };
};

} // namespace almondscale
