#pragma once

#include "Admission/AdmissionQueue.h"
#include "Core/Result.h"
#include "Routing/Router.h"

#include <memory>

namespace almondscale {

// What a waiting request learns: the engines to use, or a refusal.
struct Admittance {
    ErrorKind refusal = ErrorKind::None;
    MonotonicTime retryAt {};
    RouteChoice choice;
};

// A request that wants engines of one model.
struct PoolRequest {
    RequestId id;
    AttemptId attempt;
    RouteRequest route;
    ByteCount bytes;
};

// The requests and engines of one model at this host; safe for use by many threads.
class ModelPool {
public:
    ModelPool(const RouterOptions&, const AdmissionOptions&);
    ~ModelPool();
    ModelPool(const ModelPool&) = delete;
    ModelPool& operator=(const ModelPool&) = delete;

    // Waits until the request may be sent or is refused; a granted attempt counts as sent.
    Admittance admit(const PoolRequest&);
    // Chooses engines for a further attempt of an admitted request, without queueing it again.
    Result<RouteChoice> chooseAgain(const PoolRequest&);
    void onFirstToken(const AttemptId&, const RouteChoice&);
    void onFinished(const AttemptId&, const RouteChoice&);

    void setEngines(const std::vector<EngineView>&);
    void setLivePeers(int);
    void onLoadReport(const EngineId&, const LoadReport&);
    std::uint64_t onCacheEvents(const EngineId&, const std::vector<CacheEvent>&, std::uint64_t next);

    // Refuses what can no longer be in time and sends what has room; call it every 20 ms.
    void pump();
    std::size_t waiting() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
