#pragma once

#include "Core/AttemptId.h"
#include "Core/RandomSource.h"
#include "Core/Result.h"
#include "Routing/CacheEvent.h"
#include "Routing/EngineView.h"
#include "Routing/LoadReport.h"
#include "Routing/RouteChoice.h"
#include "Routing/RoutePolicy.h"
#include "Routing/RouteRequest.h"
#include "Routing/RouterOptions.h"

#include <memory>
#include <optional>
#include <vector>

namespace almondscale {

// Chooses engines by expected completion time, estimated from delayed load reports, the attempts
// that this host has sent since, and the estimated traffic of its peers. Not thread-safe.
class Router {
public:
    Router(RouterOptions, RoutePolicy, RandomSource);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Replaces the list of engines. The load state of engines that remain is kept.
    void setEngines(const std::vector<EngineView>&);
    // Sets the number of other live hosts that send to the same engines.
    void setLivePeers(int);
    // Ignores a report that is older than the last one.
    void onLoadReport(const EngineId&, const LoadReport&);

    // The prefill tokens are those of the RouteChoice, or 0 for an engine that only decodes. If
    // prefill and decode run on different engines, the attempt is reported once for each.
    void onSent(const AttemptId&, const EngineId&, TokenCount prefill, TokenCount decode, PrefixHash,
        MonotonicTime now);
    void onFirstToken(const AttemptId&, const EngineId&, MonotonicTime now);
    // Must also be called if the attempt failed or was cancelled.
    void onFinished(const AttemptId&, const EngineId&, MonotonicTime now);

    // Returns the sequence number of the next event to request.
    std::uint64_t onCacheEvents(
        const EngineId&, const std::vector<CacheEvent>&, std::uint64_t next, MonotonicTime now);

    // Fails with NoEngine if no engine accepts work, QueueFull if none has room now and the request
    // should stay queued at the host, or DeadlineUnreachable if the chosen engines cannot finish in
    // time.
    Result<RouteChoice> choose(const RouteRequest&, MonotonicTime now);

    // The current speed estimate of an engine, initially as configured.
    EngineSpeed speed(const EngineId&) const;
    // The service time of the request on the fastest idle engine, or nothing if no engine serves
    // the model.
    std::optional<Nanoseconds> unloadedTime(const RouteRequest&) const;
    // The engine time consumed by the request: a prefill occupies the whole engine, a decode only
    // one of its slots. Nothing if no engine serves the model.
    std::optional<Nanoseconds> engineWork(const RouteRequest&) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
