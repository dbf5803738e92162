#include "ModelPool.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace almondscale {

namespace {

    // One thread that waits in admit().
    struct Waiter {
        PoolRequest request;
        std::condition_variable decided;
        bool done = false;
        Admittance admittance;
    };

    // A request may wait for its own engines only, so those behind it are tried as well.
    constexpr std::size_t requestsTried = 16;

} // namespace

class ModelPool::Impl {
public:
    Impl(const RouterOptions& routing, const AdmissionOptions& admission)
        : m_router(routing, prefixAffinity(), systemRandom())
        , m_queue(admission)
        , m_clock(monotonicClock())
    {
    }

    Admittance admit(const PoolRequest& request)
    {
        Waiter waiter;
        waiter.request = request;
        std::unique_lock lock(m_mutex);
        const MonotonicTime now = m_clock();
        if (const auto refusal = submit(request, now))
            return refused(refusal->kind, refusal->retryAt);
        m_waiters[request.id] = &waiter;
        pumpLocked(now);
        waiter.decided.wait(lock, [&] { return waiter.done; });
        return waiter.admittance;
    }

    Result<RouteChoice> chooseAgain(const PoolRequest& request)
    {
        const std::lock_guard lock(m_mutex);
        const MonotonicTime now = m_clock();
        auto choice = m_router.choose(request.route, now);
        if (choice)
            noteSent(request, choice.value(), now);
        return choice;
    }

    void onFirstToken(const AttemptId& attempt, const RouteChoice& choice)
    {
        const std::lock_guard lock(m_mutex);
        m_router.onFirstToken(attempt, choice.decode, m_clock());
    }

    void onFinished(const AttemptId& attempt, const RouteChoice& choice)
    {
        const std::lock_guard lock(m_mutex);
        const MonotonicTime now = m_clock();
        m_router.onFinished(attempt, choice.prefill, now);
        if (choice.movesCache())
            m_router.onFinished(attempt, choice.decode, now);
        pumpLocked(now);
    }

    template <typename Use> auto withRouter(const Use& use)
    {
        const std::lock_guard lock(m_mutex);
        return use(m_router, m_clock());
    }

    void pump()
    {
        const std::lock_guard lock(m_mutex);
        pumpLocked(m_clock());
    }

    std::size_t waiting() const
    {
        const std::lock_guard lock(m_mutex);
        return m_waiters.size();
    }

private:
    static Admittance refused(ErrorKind kind, MonotonicTime retryAt)
    {
        Admittance admittance;
        admittance.refusal = kind;
        admittance.retryAt = retryAt;
        return admittance;
    }

    std::optional<AdmissionRefusal> submit(const PoolRequest& request, MonotonicTime now)
    {
        const auto unloaded = m_router.unloadedTime(request.route);
        if (!unloaded)
            return AdmissionRefusal { request.id, ErrorKind::NoEngine, now + noEngineRetry };
        WaitingRequest waiting;
        waiting.id = request.id;
        waiting.priority = request.route.priority;
        waiting.deadline = request.route.deadline;
        waiting.bytes = request.bytes;
        waiting.serviceTime = *unloaded;
        waiting.work = m_router.engineWork(request.route).value_or(*unloaded);
        return m_queue.submit(waiting, now);
    }

    void noteSent(const PoolRequest& request, const RouteChoice& choice, MonotonicTime now)
    {
        const RouteRequest& route = request.route;
        if (!choice.movesCache()) {
            m_router.onSent(
                request.attempt, choice.prefill, choice.prefillTokens, route.outputTokens, route.prefix, now);
            return;
        }
        m_router.onSent(
            request.attempt, choice.prefill, choice.prefillTokens, TokenCount(0), route.prefix, now);
        m_router.onSent(request.attempt, choice.decode, TokenCount(0), route.outputTokens, route.prefix, now);
    }

    void pumpLocked(MonotonicTime now)
    {
        for (const AdmissionRefusal& refusal : m_queue.sweep(now))
            decide(refusal.id, refused(refusal.kind, refusal.retryAt));
        while (sendOne(now)) { }
    }

    // Sends or refuses one of the first requests that wait; false if none of them can go now.
    bool sendOne(MonotonicTime now)
    {
        for (const WaitingRequest& waiting : m_queue.upcoming(requestsTried)) {
            const auto found = m_waiters.find(waiting.id);
            if (found == m_waiters.end()) {
                m_queue.remove(waiting.id);
                return true;
            }
            const PoolRequest& request = found->second->request;
            const auto choice = m_router.choose(request.route, now);
            if (choice.kind() == ErrorKind::QueueFull)
                continue;
            if (choice)
                send(request, choice.value(), now);
            else
                refuse(request, choice.kind(), now);
            return true;
        }
        return false;
    }

    void send(const PoolRequest& request, const RouteChoice& choice, MonotonicTime now)
    {
        m_queue.take(request.id, now);
        noteSent(request, choice, now);
        Admittance admittance;
        admittance.choice = choice;
        decide(request.id, admittance);
    }

    void refuse(const PoolRequest& request, ErrorKind kind, MonotonicTime now)
    {
        const MonotonicTime retryAt = m_queue.retryAt(request.route.priority, now);
        m_queue.remove(request.id);
        decide(request.id, refused(kind, retryAt));
    }

    void decide(const RequestId& id, const Admittance& admittance)
    {
        const auto found = m_waiters.find(id);
        if (found == m_waiters.end())
            return;
        Waiter& waiter = *found->second;
        m_waiters.erase(found);
        waiter.admittance = admittance;
        waiter.done = true;
        waiter.decided.notify_one();
    }

    static constexpr Nanoseconds noEngineRetry = std::chrono::seconds(1);

    mutable std::mutex m_mutex;
    Router m_router;
    AdmissionQueue m_queue;
    Clock m_clock;
    std::map<RequestId, Waiter*> m_waiters;
};

ModelPool::ModelPool(const RouterOptions& routing, const AdmissionOptions& admission)
    : m_impl(std::make_unique<Impl>(routing, admission))
{
}

ModelPool::~ModelPool() = default;

Admittance ModelPool::admit(const PoolRequest& request) { return m_impl->admit(request); }

Result<RouteChoice> ModelPool::chooseAgain(const PoolRequest& request)
{
    return m_impl->chooseAgain(request);
}

void ModelPool::onFirstToken(const AttemptId& attempt, const RouteChoice& choice)
{
    m_impl->onFirstToken(attempt, choice);
}

void ModelPool::onFinished(const AttemptId& attempt, const RouteChoice& choice)
{
    m_impl->onFinished(attempt, choice);
}

void ModelPool::setEngines(const std::vector<EngineView>& engines)
{
    m_impl->withRouter([&](Router& router, MonotonicTime) { router.setEngines(engines); });
}

void ModelPool::setLivePeers(int peers)
{
    m_impl->withRouter([&](Router& router, MonotonicTime) { router.setLivePeers(peers); });
}

void ModelPool::onLoadReport(const EngineId& engine, const LoadReport& report)
{
    m_impl->withRouter([&](Router& router, MonotonicTime) { router.onLoadReport(engine, report); });
}

std::uint64_t ModelPool::onCacheEvents(
    const EngineId& engine, const std::vector<CacheEvent>& events, std::uint64_t next)
{
    return m_impl->withRouter(
        [&](Router& router, MonotonicTime now) { return router.onCacheEvents(engine, events, next, now); });
}

void ModelPool::pump() { m_impl->pump(); }

std::size_t ModelPool::waiting() const { return m_impl->waiting(); }

} // namespace almondscale
