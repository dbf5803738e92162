#pragma once

#include "Core/LogEvent.h"
#include "Core/RandomSource.h"
#include "Forwarding/BrokenRun.h"
#include "Forwarding/ConnectionPool.h"
#include "Forwarding/LivenessProbe.h"
#include "Forwarding/MemoryBudget.h"
#include "Forwarding/RequestSummary.h"
#include "Forwarding/ShutdownSchedule.h"
#include "Forwarding/SuspectLock.h"
#include "Serving/CrashRecords.h"
#include "Serving/DecodePace.h"
#include "Serving/DecodeTimes.h"
#include "Serving/DemandMeter.h"
#include "Serving/EngineSpeeds.h"
#include "Serving/KeyCheck.h"
#include "Serving/ManifestState.h"
#include "Serving/OrganisationShares.h"
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
    // Another server than the addressed one answered.
    std::function<void(const BackendLifetime&)> onWrongServer = {};
    // Called when other hosts should hear of a server's limit at once.
    std::function<void()> onLimitChanged = {};
    // Called for each request sent to a server that has a limit.
    std::function<void()> onLimitedSend = {};
    // Called once for each request of an organisation that began to run, with the time of that.
    std::function<void(const Organisation&, MonotonicTime began)> onRunBegan = {};
    RoomQueue roomQueue = {};
    // The shares of organisations in the engines of each service.
    std::map<ServiceName, OrganisationShares> shares = {};
    // Set while the host is shutting down; caller connections are closed after the next response.
    std::optional<ShutdownSchedule> shutdown = {};
    // Another data centre can serve callers better. Their connections are closed after the
    // next response, so that they reconnect through the load balancer.
    bool servedElsewhere = false;
    int openRequests = 0;
    // Memory that is held for callers and servers.
    MemoryBudget memory = MemoryBudget();
    // Connections to servers that may be open at the same time; unset for no limit.
    std::optional<std::size_t> maxServerConnections = {};
    ServerSpeeds serverSpeeds = ServerSpeeds();
    DecodePace decodePace = {};

    // What the age of the manifest allows with callers' keys; anything if unset.
    std::function<KeyTrust()> keyTrust = {};
    // Called for each request that is refused because of its key.
    std::function<void(ErrorKind)> onKeyRefusal = {};

    // The state of the manifest now; unset where nobody asks for its age.
    std::function<ManifestState()> manifestState = {};
    // Called for each request that is decided by an outdated manifest, with "routed" or the name of the
    // error; 404 is not given by such a manifest.
    std::function<void(const char* decision)> onOutdatedDecision = {};

    ManifestState manifestNow() const;
    // Whether requests with keys are refused, since the manifest may be outdated.
    bool refusesKeys() const { return routes.organisations() && keyTrust && !keyTrust().serves; }
    bool closesCallerConnections() const { return shutdown || servedElsewhere || refusesKeys(); }
};

// Reports the decision if the manifest is outdated.
void noteDecision(const ServingContext&, const ManifestState&, const char* decision);

// Adds the version of the manifest, its age, by whom it was confirmed and the bound.
LogEvent& addManifest(LogEvent&, const ManifestState&);

// Checks the caller's key against the manifest in force, see checkKey().
ErrorKind authenticate(ServingContext&, CallerRequest&, const Route&);

} // namespace almondscale
