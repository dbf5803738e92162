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

// Chooses engines by expected completion from late load reports, what this host
// sent since, and an estimate of what its peers sent. Not thread-safe.
class Router {
public:
    Router(RouterOptions, RoutePolicy, RandomSource);
    ~Router();
    Router(Router&&) noexcept;
    Router& operator=(Router&&) noexcept;

    // Replaces the list of engines; what is known about the load of those that stay is kept.
    void setEngines(const std::vector<EngineView>&);
    // The other live hosts that send to the same engines.
    void setLivePeers(int);
    // An older report than the last one is ignored.
    void onLoadReport(const EngineId&, const LoadReport&);

    // The prefill tokens are those of the choice, or 0 at an engine that only decodes.
    // An attempt whose prefill and decode are split is reported once for each engine.
    void onSent(const AttemptId&, const EngineId&, TokenCount prefill, TokenCount decode, PrefixHash,
        MonotonicTime now);
    void onFirstToken(const AttemptId&, const EngineId&, MonotonicTime now);
    // To be called also when the attempt failed or was cancelled.
    void onFinished(const AttemptId&, const EngineId&, MonotonicTime now);

    // Returns the sequence number from which to ask next.
    std::uint64_t onCacheEvents(
        const EngineId&, const std::vector<CacheEvent>&, std::uint64_t next, MonotonicTime now);

    // NoEngine: none may get work. QueueFull: none has room now, so the request
    // should wait at the host. DeadlineUnreachable: none could finish in time.
    Result<RouteChoice> choose(const RouteRequest&, MonotonicTime now);

    // The speed that is believed of an engine, learned or as configured.
    EngineSpeed speed(const EngineId&) const;
    // How long an idle engine would need for the request; nothing if no engine serves the model.
    std::optional<Nanoseconds> unloadedTime(const RouteRequest&) const;
    // What the request takes of an engine's time: a prefill has the engine to
    // itself, a decode one of its slots.
    std::optional<Nanoseconds> engineWork(const RouteRequest&) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
