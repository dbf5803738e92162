#include "Routing/Router.h"

#include "Routing/EngineLoad.h"
#include "Routing/PrefixHints.h"
#include "Routing/PrefixShares.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace almondscale {

namespace {

    // The time constant of the average of this host's own sending rate.
    constexpr double rateWindowSeconds = 2;

    double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

    Nanoseconds nanoseconds(double time)
    {
        return std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(time));
    }

    bool doesPrefill(EngineRole role) { return role != EngineRole::Decode; }

    // The exponentially averaged rate at which this host sends to the engines of one model.
    struct SendRate {
        MonotonicTime at;
        ArrivalRates perSecond;

        void decay(MonotonicTime now)
        {
            const double keep = std::exp(-std::max(0.0, seconds(now - at)) / rateWindowSeconds);
            perSecond.prefillTokensPerSecond *= keep;
            perSecond.decodeTokensPerSecond *= keep;
            perSecond.requestsPerSecond *= keep;
            perSecond.blocksPerSecond *= keep;
            at = std::max(at, now);
        }
    };

} // namespace

class Router::Impl {
public:
    Impl(RouterOptions options, RoutePolicy policy, RandomSource random)
        : m_options(std::move(options))
        , m_policy(std::move(policy))
        , m_random(std::move(random))
    {
    }

    struct Engine {
        EngineView view;
        EngineLoad load;
        PrefixHints hints;
    };

    // The engines of one model that accept work.
    struct Pool {
        std::vector<Engine*> engines;
        bool hasPrefillEngine = false;

        void add(Engine& engine)
        {
            engines.push_back(&engine);
            hasPrefillEngine = hasPrefillEngine || engine.view.role == EngineRole::Prefill;
        }
    };

    enum class Phase {
        Whole,
        Prefill,
        Decode,
    };

    struct Selection {
        RouteCandidate candidate;
        MonotonicTime effectiveCompletion;
    };

    void setEngines(const std::vector<EngineView>& views)
    {
        std::map<EngineId, Engine> next;
        for (const auto& view : views) {
            auto known = m_engines.find(view.id);
            if (known == m_engines.end()) {
                next.emplace(view.id, Engine { view, EngineLoad(view.speed), {} });
                continue;
            }
            known->second.view = view;
            next.emplace(view.id, std::move(known->second));
        }
        m_engines = std::move(next);
        m_pools.clear();
        for (auto& [id, engine] : m_engines) {
            if (usable(engine))
                m_pools[engine.view.model].add(engine);
        }
    }

    Engine* find(const EngineId& id)
    {
        const auto found = m_engines.find(id);
        return found == m_engines.end() ? nullptr : &found->second;
    }

    void recordSent(const Engine& engine, TokenCount prefill, TokenCount decode, MonotonicTime now)
    {
        auto& rate = m_rates[engine.view.model];
        rate.decay(now);
        rate.perSecond.prefillTokensPerSecond += static_cast<double>(prefill.count()) / rateWindowSeconds;
        rate.perSecond.decodeTokensPerSecond += static_cast<double>(decode.count()) / rateWindowSeconds;
        rate.perSecond.requestsPerSecond += 1 / rateWindowSeconds;
        rate.perSecond.blocksPerSecond += engine.load.blocksFor(prefill + decode) / rateWindowSeconds;
    }

    // Assumes that each peer sends as much as this host, spread evenly over the engines.
    ArrivalRates peerArrivalRates(const ModelName& model, MonotonicTime now)
    {
        auto& rate = m_rates[model];
        rate.decay(now);
        const auto engines = std::max<std::size_t>(1, m_pools[model].engines.size());
        const double share = static_cast<double>(livePeers) / static_cast<double>(engines);
        ArrivalRates arrivals = rate.perSecond;
        arrivals.prefillTokensPerSecond *= share;
        arrivals.decodeTokensPerSecond *= share;
        arrivals.requestsPerSecond *= share;
        arrivals.blocksPerSecond *= share;
        return arrivals;
    }

    static bool usable(const Engine& engine)
    {
        return engine.view.state == EngineAvailability::Open && engine.view.reachable;
    }

    bool fits(const Engine& engine, Phase phase) const
    {
        if (phase == Phase::Whole)
            return engine.view.role == EngineRole::Mixed;
        // A mixed engine can always decode, but takes split prefills only if the model has no
        // prefill engine.
        if (phase == Phase::Decode)
            return engine.view.role != EngineRole::Prefill;
        return engine.view.role == EngineRole::Prefill
            || (engine.view.role == EngineRole::Mixed && !hasPrefillEngine(engine.view.model));
    }

    RouteCandidate candidate(Engine& engine, Phase phase, const RouteRequest& request, MonotonicTime start,
        MonotonicTime now, const EngineEstimate& load)
    {
        const auto& speed = engine.load.speed();
        RouteCandidate result;
        result.engine = engine.view.id;
        result.reportedLoad = load.reportedRequests;
        result.holdsPrefix = phase != Phase::Decode && engine.hints.holds(request.prefix, now);
        Nanoseconds prefillWait {};
        Nanoseconds prefillWork {};
        if (phase != Phase::Decode) {
            const auto cached = result.holdsPrefix ? request.prefixTokens.count() : 0;
            const auto tokens = std::max<std::int64_t>(0, request.promptTokens.count() - cached);
            prefillWait = nanoseconds(load.prefillTokens / speed.prefillTokensPerSecond);
            result.prefillTokens = TokenCount(tokens);
            prefillWork = nanoseconds(static_cast<double>(tokens) / speed.prefillTokensPerSecond);
        }
        Nanoseconds slotWait {};
        Nanoseconds decodeWork {};
        if (phase != Phase::Prefill) {
            const auto tokens = static_cast<double>(request.outputTokens.count());
            slotWait = nanoseconds(slotWaitSeconds(load, speed));
            decodeWork = nanoseconds(tokens / speed.decodeTokensPerSecond);
        }
        result.wait = prefillWait + slotWait;
        result.firstTokenAt = start + prefillWait + prefillWork + slotWait;
        result.completionAt = result.firstTokenAt + decodeWork;
        return result;
    }

    static double slotWaitSeconds(const EngineEstimate& load, const EngineSpeed& speed)
    {
        const double ahead = load.requests - speed.slots + 1;
        if (ahead <= 0 || load.requests <= 0)
            return 0;
        const double tokensEach = load.decodeTokens / load.requests;
        return ahead * tokensEach / (speed.slots * speed.decodeTokensPerSecond);
    }

    // Chooses an engine for the phase, considering this data centre and the others.
    Result<Selection> selectEngine(
        Phase phase, const RouteRequest& request, MonotonicTime start, MonotonicTime now)
    {
        std::vector<RouteCandidate> local;
        std::vector<RouteCandidate> remote;
        bool anyUsable = false;
        const auto arrivals = peerArrivalRates(request.model, now);
        for (Engine* member : m_pools[request.model].engines) {
            Engine& engine = *member;
            if (!fits(engine, phase) || request.excluded.count(engine.view.id) != 0)
                continue;
            anyUsable = true;
            const auto load = engine.load.estimate(now, arrivals, m_options.extrapolateReports);
            if (!hasRoom(engine, phase, request, load))
                continue;
            auto option = candidate(engine, phase, request, start, now, load);
            option.full = option.wait > m_options.maxEngineWait;
            const bool isLocal = engine.view.dataCentre == m_options.dataCentre;
            (isLocal ? local : remote).push_back(std::move(option));
        }
        if (!anyUsable)
            return ErrorKind::NoEngine;
        const auto best = selectDataCentre(local, remote, request);
        if (!best)
            return ErrorKind::QueueFull;
        return *best;
    }

    std::optional<Selection> selectDataCentre(const std::vector<RouteCandidate>& local,
        const std::vector<RouteCandidate>& remote, const RouteRequest& request)
    {
        const auto bestLocal = applyPolicy(local, Nanoseconds(0), request);
        const auto bestRemote = applyPolicy(remote, m_options.remoteDataCentrePenalty, request);
        if (bestLocal && bestRemote)
            return bestRemote->effectiveCompletion < bestLocal->effectiveCompletion ? bestRemote : bestLocal;
        return bestLocal ? bestLocal : bestRemote;
    }

    std::optional<Selection> applyPolicy(
        const std::vector<RouteCandidate>& candidates, Nanoseconds extra, const RouteRequest& request)
    {
        if (candidates.empty())
            return std::nullopt;
        const auto chosen = m_policy(candidates, request, m_random);
        if (!chosen)
            return std::nullopt;
        const auto& candidate = candidates[*chosen];
        return Selection { candidate, candidate.completionAt + extra };
    }

    bool hasPrefillEngine(const ModelName& model) const
    {
        const auto pool = m_pools.find(model);
        return pool != m_pools.end() && pool->second.hasPrefillEngine;
    }

    bool hasRoom(
        const Engine& engine, Phase phase, const RouteRequest& request, const EngineEstimate& load) const
    {
        if (!load.blocksKnown)
            return true;
        // If there are prefill engines, mixed engines reserve memory to decode the requests that
        // these have prefilled.
        const bool keepsReserve = phase == Phase::Whole && hasPrefillEngine(request.model);
        const double reserve = keepsReserve ? m_options.mixedReserveFraction * load.totalBlocks : 0;
        const auto tokens
            = phase == Phase::Prefill ? request.promptTokens : request.promptTokens + request.outputTokens;
        return load.freeBlocks - reserve >= engine.load.blocksFor(tokens);
    }

    Result<RouteChoice> chooseWhole(const RouteRequest& request, MonotonicTime now)
    {
        const auto selected = selectEngine(Phase::Whole, request, now, now);
        if (!selected)
            return selected.error();
        const auto& option = selected.value().candidate;
        return RouteChoice { option.engine, option.engine, option.prefillTokens, option.firstTokenAt,
            selected.value().effectiveCompletion };
    }

    Result<RouteChoice> choosePair(const RouteRequest& request, MonotonicTime now)
    {
        const auto prefill = selectEngine(Phase::Prefill, request, now, now);
        if (!prefill)
            return prefill.error();
        const auto& from = prefill.value().candidate;
        const auto& speed = find(from.engine)->load.speed();
        const double bytes = static_cast<double>(request.promptTokens.count()) * speed.kvBytesPerToken;
        const auto moved = prefill.value().effectiveCompletion + nanoseconds(bytes / speed.kvBytesPerSecond);
        const auto decode = selectEngine(Phase::Decode, request, moved, now);
        if (!decode)
            return decode.error();
        const auto& to = decode.value().candidate;
        return RouteChoice { from.engine, to.engine, from.prefillTokens, to.firstTokenAt,
            decode.value().effectiveCompletion };
    }

    Result<RouteChoice> choose(RouteRequest request, MonotonicTime now)
    {
        request.prefixShare = m_shares[request.model].share(request.prefix);
        const auto whole = chooseWhole(request, now);
        const auto pair = choosePair(request, now);
        if (!whole && !pair) {
            const bool full = whole.kind() == ErrorKind::QueueFull || pair.kind() == ErrorKind::QueueFull;
            return full ? ErrorKind::QueueFull : ErrorKind::NoEngine;
        }
        const bool usePair = !whole || (pair && pair.value().completionAt < whole.value().completionAt);
        const RouteChoice best = usePair ? pair.value() : whole.value();
        if (request.deadline < Deadline(best.completionAt))
            return ErrorKind::DeadlineUnreachable;
        return best;
    }

    // The minimum service time over all usable engines, with the decode time divided by the
    // divisor.
    template <typename Divisor>
    std::optional<Nanoseconds> minServiceTime(const RouteRequest& request, const Divisor& divisor) const
    {
        std::optional<Nanoseconds> best;
        for (const auto& [id, engine] : m_engines) {
            if (engine.view.model != request.model || !usable(engine))
                continue;
            const auto& speed = engine.load.speed();
            const double prefill
                = static_cast<double>(request.promptTokens.count()) / speed.prefillTokensPerSecond;
            const double decode
                = static_cast<double>(request.outputTokens.count()) / speed.decodeTokensPerSecond;
            const auto time = nanoseconds(prefill + decode / divisor(speed));
            if (!best || time < *best)
                best = time;
        }
        return best;
    }

    int livePeers = 0;
    RouterOptions m_options;
    RoutePolicy m_policy;
    RandomSource m_random;
    std::map<EngineId, Engine> m_engines;
    std::map<ModelName, Pool> m_pools;
    std::map<ModelName, SendRate> m_rates;
    std::map<ModelName, PrefixShares> m_shares;
};

Router::Router(RouterOptions options, RoutePolicy policy, RandomSource random)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(policy), std::move(random)))
{
}

Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

void Router::setEngines(const std::vector<EngineView>& views) { m_impl->setEngines(views); }

void Router::setLivePeers(int peers) { m_impl->livePeers = std::max(0, peers); }

void Router::onLoadReport(const EngineId& id, const LoadReport& report)
{
    auto* engine = m_impl->find(id);
    if (engine && engine->load.onReport(report))
        engine->hints.clear();
}

void Router::onSent(const AttemptId& attempt, const EngineId& id, TokenCount prefill, TokenCount decode,
    PrefixHash prefix, MonotonicTime now)
{
    auto* engine = m_impl->find(id);
    if (!engine)
        return;
    engine->load.removeBefore(now - m_impl->m_options.maxAttemptAge);
    engine->load.onSent(attempt, prefill, decode, now);
    if (doesPrefill(engine->view.role)) {
        m_impl->m_shares[engine->view.model].add(prefix);
        engine->hints.add(prefix, now + m_impl->m_options.prefixLifetime, now);
    }
    m_impl->recordSent(*engine, prefill, decode, now);
}

void Router::onFirstToken(const AttemptId& attempt, const EngineId& id, MonotonicTime now)
{
    if (auto* engine = m_impl->find(id))
        engine->load.onFirstToken(attempt, now);
}

void Router::onFinished(const AttemptId& attempt, const EngineId& id, MonotonicTime now)
{
    if (auto* engine = m_impl->find(id))
        engine->load.onFinished(attempt, now);
}

std::uint64_t Router::onCacheEvents(
    const EngineId& id, const std::vector<CacheEvent>& events, std::uint64_t next, MonotonicTime now)
{
    auto* engine = m_impl->find(id);
    if (!engine)
        return next;
    return engine->hints.apply(
        events, next, now + m_impl->m_options.prefixLifetime, now + m_impl->m_options.gapGracePeriod, now);
}

Result<RouteChoice> Router::choose(const RouteRequest& request, MonotonicTime now)
{
    return m_impl->choose(request, now);
}

EngineSpeed Router::speed(const EngineId& id) const
{
    const auto* engine = m_impl->find(id);
    return engine ? engine->load.speed() : EngineSpeed {};
}

std::optional<Nanoseconds> Router::unloadedTime(const RouteRequest& request) const
{
    return m_impl->minServiceTime(request, [](const EngineSpeed&) { return 1; });
}

std::optional<Nanoseconds> Router::engineWork(const RouteRequest& request) const
{
    return m_impl->minServiceTime(request, [](const EngineSpeed& speed) { return speed.slots; });
}

} // namespace almondscale
