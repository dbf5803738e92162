#pragma once

#include "Core/RandomSource.h"
#include "Forwarding/BrokenRun.h"
#include "Forwarding/ByteBudget.h"
#include "Forwarding/ConnectionPool.h"
#include "Forwarding/LivenessProbe.h"
#include "Forwarding/RequestSummary.h"
#include "Forwarding/ShutdownSchedule.h"
#include "Forwarding/SuspectLock.h"
#include "Serving/CrashRecords.h"
#include "Serving/DecodePace.h"
#include "Serving/DecodeTimes.h"
#include "Serving/DemandMeter.h"
#include "Serving/EngineSpeeds.h"
#include "Serving/Placement.h"
#include "Serving/RetryLimiter.h"
#include "Serving/RoomQueue.h"
#include "Serving/RouteTable.h"
#include "Serving/ServerSpeeds.h"
#include "Serving/ServingWire.h"

#include <functional>
#include <optional>

namespace almondscale {

// State shared by all requests of a host. Outlives them.
struct ServingContext {
    boost::asio::any_io_executor executor;
    const ServingWire& wire;
    RouteTable& routes;
    BackendTable& backends;
    Placement& placement;
    RetryLimiter& retries;
    DemandMeter& demand;
    EngineSpeeds& speeds;
    DecodeTimes& decodeTimes;
    ConnectionPool& pool;
    // Connections for this host's own calls. Their responses carry no request id, so a late
    // duplicate on a shared connection could be taken for the response to a caller's request.
    ConnectionPool& ownCalls;
    LivenessProbe& livenessProbe;
    CrashRecords& crashes;
    SuspectLock suspectLock;
    RandomSource random;
    // Called when a request has completed.
    std::function<void(const RequestSummary&)> onRequestEnd = {};
    // Called for each broken run, with whether its server has terminated.
    std::function<void(const BrokenRun&, bool serverEnded)> onBrokenRun = {};
    // Called for each request that is refused because of what it has in common with requests that crashed
    // servers.
    std::function<void(const CrashSubject&)> onCrashRefusal = {};
    // Called when a server announces that it is leaving, or asks for a pause (Retry-After).
    std::function<void(const BackendLifetime&)> onServerLeaving = {};
    std::function<void(const BackendLifetime&)> onServerBarred = {};
    // Called when other hosts should hear of a server's limit at once.
    std::function<void()> onLimitChanged = {};
    // Called for each request sent to a server that has a limit.
    std::function<void()> onLimitedSend = {};
    RoomQueue roomQueue = {};
    // Set while the host is shutting down; caller connections are closed after the next response.
    std::optional<ShutdownSchedule> shutdown = {};
    // Another data centre can serve callers better. Their connections are closed after the
    // next response, so that they reconnect through the load balancer.
    bool servedElsewhere = false;
    int openRequests = 0;
    // Covers buffered responses and request bodies that are being received.
    ByteBudget bufferBudget = {};
    ServerSpeeds serverSpeeds = ServerSpeeds();
    DecodePace decodePace = {};

    bool closesCallerConnections() const { return shutdown || servedElsewhere; }
};

} // namespace almondscale
