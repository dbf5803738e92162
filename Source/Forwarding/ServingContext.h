#pragma once

#include "Core/RandomSource.h"
#include "Forwarding/BrokenRun.h"
#include "Forwarding/ByteBudget.h"
#include "Forwarding/ConnectionPool.h"
#include "Forwarding/LifeProbe.h"
#include "Forwarding/RequestEnd.h"
#include "Forwarding/SuspectLane.h"
#include "Serving/CrashRecords.h"
#include "Serving/DecodeTimes.h"
#include "Serving/DemandMeter.h"
#include "Serving/EngineSpeeds.h"
#include "Serving/Placement.h"
#include "Serving/RetryLimiter.h"
#include "Serving/RouteTable.h"
#include "Serving/ServingWire.h"

#include <functional>

namespace almondscale {

// What all requests of one host share; it outlives them.
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
    // Connections for calls of this host's own, whose answers name no request: a late second
    // copy of one must not meet a caller's request.
    ConnectionPool& ownCalls;
    LifeProbe& lifeProbe;
    CrashRecords& crashes;
    SuspectLane lane;
    RandomSource random;
    // Told of each request that has ended.
    std::function<void(const RequestEnd&)> onRequestEnd = {};
    // Told of each send that was broken off, and whether its server has ended.
    std::function<void(const BrokenRun&, bool serverEnded)> onBrokenRun = {};
    // Told of each server that says that it leaves, or asks for a pause.
    std::function<void(const BackendLifetime&)> onServerLeaving = {};
    std::function<void(const BackendLifetime&)> onServerBarred = {};
    // The host is shutting down: connections of callers end with their next answer.
    bool stopping = false;
    // Callers are better served in another data centre: their connections end likewise,
    // so that they come back through the balancer.
    bool servedElsewhere = false;
    int openRequests = 0;
    // Whole answers and callers' bodies that are being read.
    ByteBudget heldBytes = {};

    bool leavesCallers() const { return stopping || servedElsewhere; }
};

} // namespace almondscale
