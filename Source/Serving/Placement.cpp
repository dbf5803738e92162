#include "Serving/Placement.h"

#include "Core/Milliseconds.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

namespace almondscale {

namespace {

    // Milliseconds that each running request adds to the time per token of an engine.
    constexpr double tokenMsPerRequest = 0.12;
    // Nominal time of a request at a plain service, to weigh its queue against the latency to another data
    // centre.
    constexpr double plainRequestMs = 30;
    // Cost of a failure; charged in proportion to the server's failure share.
    constexpr double failureMs = 400;

    std::uint64_t mixBits(std::uint64_t x)
    {
        x ^= x >> 33;
        x *= 0xff51afd7ed558ccdULL;
        x ^= x >> 33;
        x *= 0xc4ceb9fe1a85ec53ULL;
        return x ^ (x >> 33);
    }

    // Rendezvous rank of a server for a prefix, equal on all hosts.
    std::uint64_t homeRank(std::uint64_t prefix, const BackendId& id)
    {
        return mixBits(backendHash(id) ^ mixBits(prefix));
    }

    // Hosts know a factor to some percent. In such steps of its logarithm, they mostly agree on the homes of
    // prefixes, which move only if the speed of a server really changes.
    constexpr double homeFactorStep = 0.25;

    double homeFactor(const Backend& backend)
    {
        return std::exp(
            homeFactorStep * std::round(std::log(backend.factors.steadyPrefill) / homeFactorStep));
    }

    double steadyFactor(const Backend& backend, EngineRole role)
    {
        return role == EngineRole::Prefill ? backend.factors.steadyPrefill : backend.factors.steadyDecode;
    }

    // Factors are exactly 1 in a fleet of even speed.
    bool areUneven(const std::vector<const Backend*>& engines, EngineRole role)
    {
        return std::any_of(engines.begin(), engines.end(),
            [role](const Backend* engine) { return steadyFactor(*engine, role) != 1; });
    }

    // Draws an engine from the given position on, in proportion to its speed.
    std::size_t drawBySpeed(const std::vector<const Backend*>& engines, std::size_t begin, EngineRole role,
        const RandomSource& random)
    {
        double sum = 0;
        for (std::size_t i = begin; i < engines.size(); ++i)
            sum += 1 / steadyFactor(*engines[i], role);
        double left = uniform(random) * sum;
        for (std::size_t i = begin; i + 1 < engines.size(); ++i) {
            left -= 1 / steadyFactor(*engines[i], role);
            if (left < 0)
                return i;
        }
        return engines.size() - 1;
    }

} // namespace

Placement::Placement(const BackendTable& backends, DataCentre dataCentre, PlacementOptions options)
    : m_backends(backends)
    , m_dataCentre(std::move(dataCentre))
    , m_options(std::move(options))
{
}

struct Placement::PrefillQuery {
    const PromptShape& prompt;
    // The engines by descending rank for the prompt's prefix.
    std::vector<std::pair<double, const Backend*>> ranked;
    EngineSpeedModel speed;
    double leftMs = 0;
    MonotonicTime now;
};

std::optional<PlacementChoice> Placement::choosePrefill(const ServiceName& service, const PromptShape& prompt,
    const Excluded& excluded, Deadline targetTime, MonotonicTime now) const
{
    PrefillQuery query { prompt, {}, m_options.speedOf(service), toMs(targetTime.remaining(now)), now };
    std::vector<const Backend*> engines;
    for (const auto* backend : m_backends.usable(service, now, EngineRole::Prefill)) {
        if (excluded.count(backend->record.id) == 0)
            engines.push_back(backend);
    }
    // Without a prefix, all hosts would prefer the same fast engine.
    if (prompt.prefixHash == 0 && areUneven(engines, EngineRole::Prefill))
        engines = drawCompared(engines, EngineRole::Prefill);
    query.ranked = rankForPrefix(prompt.prefixHash, engines);
    auto best = bestPrefill(query, false);
    if (!best || best->expectedMs <= m_options.deferFactor * query.leftMs)
        return best;
    return bestPrefill(query, true);
}

std::vector<std::pair<double, const Backend*>> Placement::rankForPrefix(
    std::uint64_t prefixHash, const std::vector<const Backend*>& engines) const
{
    const bool uneven = areUneven(engines, EngineRole::Prefill);
    std::vector<std::pair<double, const Backend*>> ranked;
    ranked.reserve(engines.size());
    for (const auto* engine : engines) {
        const auto rank = static_cast<double>(homeRank(prefixHash, engine->record.id));
        // Weighted rendezvous hashing: an engine is the home of a share of the prefixes in proportion to its
        // speed.
        ranked.emplace_back(uneven ? homeFactor(*engine) * std::log((rank + 1) / 0x1p64) : rank, engine);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    return ranked;
}

std::optional<PlacementChoice> Placement::bestPrefill(const PrefillQuery& query, bool deferred) const
{
    const auto& prompt = query.prompt;
    const double recomputeMs
        = m_options.recomputeFactor * query.speed.workMs(prompt.prefixTokens, TokenCount(0));
    const double rankPenaltyMs
        = std::min(m_options.rankPenaltyMs, m_options.maxRankPenaltyShare * recomputeMs);
    std::optional<PlacementChoice> best;
    double bestCost = 0;
    for (std::size_t rank = 0; rank < query.ranked.size(); ++rank) {
        const auto* backend = query.ranked[rank].second;
        const bool sharesPrefix = prompt.prefixHash != 0;
        const bool home = rank < m_options.prefixCopies;
        const bool cached = sharesPrefix && hasPrefix(*backend, prompt, home, query.now);
        const auto cachedTokens = cached ? prompt.prefixTokens : TokenCount(0);
        const auto load = backend->load();
        const double queuedMs
            = std::max(0.0, load.prefillMs) + (deferred ? std::max(0.0, load.deferredMs) : 0);
        const double nominal
            = query.speed.waitFactor * queuedMs + query.speed.prefillMs(prompt.tokens, cachedTokens);
        const double expected = nominal * backend->prefillDelay() + failureMs * backend->failureShare;
        double cost = expected + (expected > query.leftMs ? m_options.latePenaltyMs : 0);
        // The prefix's home engine has to compute it once in any case.
        if (sharesPrefix && !cached && !home)
            cost += recomputeMs;
        if (sharesPrefix)
            cost += rankPenaltyMs * static_cast<double>(rank);
        if (backend->record.dataCentre != m_dataCentre)
            cost += m_options.crossDataCentreMs;
        if (!best || cost < bestCost) {
            best = PlacementChoice { backend->record.id, expected,
                query.speed.workMs(prompt.tokens, cachedTokens), nominal,
                std::max(0.0, load.prefillMs) + std::max(0.0, load.deferredMs), cachedTokens, deferred,
                backend->factors.prefill, load.requests };
            bestCost = cost;
        }
    }
    return best;
}

bool Placement::hasPrefix(
    const Backend& backend, const PromptShape& prompt, bool home, MonotonicTime now) const
{
    const auto prefix = backend.prefixes.find(prompt.prefixHash);
    if (prefix != backend.prefixes.end())
        return now - prefix->second < m_options.prefixLifetime;
    return home && m_options.warmBeforeMs && backend.record.startedAtMs <= *m_options.warmBeforeMs;
}

std::vector<const Backend*> Placement::decodeEngines(
    const ServiceName& service, const Excluded& excluded, MonotonicTime now) const
{
    std::vector<const Backend*> engines;
    for (const auto* backend : m_backends.usable(service, now, EngineRole::Decode)) {
        if (excluded.count(backend->record.id) == 0 && !backend->isFull(now))
            engines.push_back(backend);
    }
    return drawCompared(engines, EngineRole::Decode);
}

std::vector<const Backend*> Placement::drawCompared(
    const std::vector<const Backend*>& usable, EngineRole role) const
{
    const bool uneven = areUneven(usable, role);
    std::map<DataCentre, std::vector<const Backend*>> enginesPerDataCentre;
    for (const auto* backend : usable)
        enginesPerDataCentre[backend->record.dataCentre].push_back(backend);
    std::vector<const Backend*> engines;
    const double share = static_cast<double>(m_options.fullComparisonHosts) / std::max(1, m_options.hosts());
    const std::size_t minCompared = uneven ? m_options.minUnevenCompared
        : enginesPerDataCentre.size() > 1  ? 1
                                           : 2;
    for (auto& entry : enginesPerDataCentre) {
        auto& all = entry.second;
        const auto drawnCount = static_cast<std::size_t>(std::ceil(share * static_cast<double>(all.size())));
        const auto comparedCount = std::min(all.size(), std::max(minCompared, drawnCount));
        for (std::size_t i = 0; i < comparedCount; ++i) {
            if (comparedCount < all.size())
                std::swap(all[i],
                    all[uneven ? drawBySpeed(all, i, role, m_options.random)
                               : i + uniformBelow(m_options.random, all.size() - i)]);
            engines.push_back(all[i]);
        }
    }
    return engines;
}

struct Placement::DecodeQuery {
    std::vector<const Backend*> engines;
    const EngineSpec& spec;
    const PromptShape& prompt;
    const StreamRequirements& needs;
    const DataCentre& prefilledIn;
};

std::optional<PlacementChoice> Placement::chooseDecode(const ServiceName& service, const EngineSpec& spec,
    const PromptShape& prompt, const StreamRequirements& needs, const DataCentre& prefilledIn,
    const Excluded& excluded, MonotonicTime now) const
{
    const DecodeQuery query { decodeEngines(service, excluded, now), spec, prompt, needs, prefilledIn };
    auto best = bestDecode(query, false);
    const bool waits = best && best->queuedMs > 0;
    const double leftMs = toMs(needs.targetTime.remaining(now));
    if (!waits || best->expectedMs <= m_options.deferFactor * leftMs)
        return best;
    return bestDecode(query, true);
}

std::optional<PlacementChoice> Placement::bestDecode(const DecodeQuery& query, bool deferred) const
{
    const double memory = static_cast<double>(std::max<std::int64_t>(1, query.spec.memory.count()));
    const double holdMs = std::max(1.0, query.needs.holdMs);
    const int slots = std::max(1, query.spec.slots);
    std::optional<PlacementChoice> best;
    double bestCost = 0;
    for (const auto* backend : query.engines) {
        const auto load = backend->load();
        const double usedMemoryShare
            = (load.contextTokens + static_cast<double>(query.prompt.tokens.count())) / memory;
        const double running = std::max(0, load.requests) + 1;
        // Deferred streams in the queue are overtaken.
        const double overtaken = deferred ? 0 : std::max(0.0, load.deferredMs) / holdMs;
        const double queued = std::max(0.0, running - overtaken - slots);
        const double delay = backend->decodeDelay();
        double cost = running * tokenMsPerRequest * 10 * delay;
        cost += query.needs.firstEventMs * (backend->factors.decode - 1);
        cost += failureMs * backend->failureShare;
        if (usedMemoryShare > m_options.maxMemoryShare)
            cost += 1000 * (usedMemoryShare - m_options.maxMemoryShare);
        cost += 100 * queued;
        if (backend->record.dataCentre != query.prefilledIn)
            cost += m_options.crossDataCentreMs + query.spec.transferMs(query.prompt.tokens);
        if (best && cost >= bestCost)
            continue;
        const double waitMs = holdMs * queued / slots;
        const double nominal = query.needs.firstEventMs + waitMs;
        best = PlacementChoice { backend->record.id, nominal * delay, holdMs, nominal, waitMs, {}, deferred,
            backend->factors.decode, load.requests };
        bestCost = cost;
    }
    return best;
}

std::optional<PlacementChoice> Placement::chooseDirect(const ServiceName& service, const EngineSpec& spec,
    const PromptShape& prompt, Nanoseconds allowedPause, const Excluded& excluded, MonotonicTime now) const
{
    const auto speed = m_options.speedOf(service);
    const double readMs = speed.workMs(prompt.tokens, TokenCount(0)) / m_options.directPrefillSpeed;
    const double mostReadMs = m_options.directPauseShare * toMs(allowedPause);
    std::optional<PlacementChoice> best;
    double bestCost = 0;
    for (const auto* backend : decodeEngines(service, excluded, now)) {
        const auto load = backend->load();
        const int running = std::max(0, load.requests);
        const double queuedMs = std::max(0.0, load.prefillMs);
        if (running >= spec.slots || (queuedMs + readMs) * backend->factors.prefill > mostReadMs)
            continue;
        const double nominal = speed.requestMs + queuedMs + readMs;
        const double expected = nominal * backend->prefillDelay() + failureMs * backend->failureShare;
        double cost = expected + m_options.directStallWeight * readMs * running * backend->factors.prefill;
        if (backend->record.dataCentre != m_dataCentre)
            cost += m_options.crossDataCentreMs;
        if (!best || cost < bestCost) {
            best = PlacementChoice { backend->record.id, cost, readMs, nominal, queuedMs, {}, false,
                backend->factors.decode, load.requests };
            bestCost = cost;
        }
    }
    return best;
}

std::optional<PlacementChoice> Placement::choosePlain(
    const ServiceName& service, const Excluded& excluded, MonotonicTime now) const
{
    std::optional<PlacementChoice> best;
    for (const auto* backend : m_backends.usable(service, now)) {
        if (excluded.count(backend->record.id) > 0)
            continue;
        const int slots = std::max(1, backend->record.slots);
        const int openRequests = std::max(0, backend->load().requests);
        // Requests within the slots run concurrently; further requests wait for one to finish.
        const double queued = static_cast<double>(std::max(0, openRequests + 1 - slots)) / slots;
        const double occupancy = static_cast<double>(openRequests) / slots;
        double cost = plainRequestMs * backend->decodeDelay() * (1 + queued + 0.25 * occupancy);
        cost += failureMs * backend->failureShare;
        if (backend->record.dataCentre != m_dataCentre)
            cost += m_options.crossDataCentreMs;
        if (!best || cost < best->expectedMs)
            best = PlacementChoice { backend->record.id, cost, plainRequestMs, plainRequestMs * (1 + queued),
                plainRequestMs * queued, {}, false, backend->factors.decode, openRequests };
    }
    return best;
}

} // namespace almondscale
