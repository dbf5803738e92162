#include "SimulatedFleet.h"

#include <algorithm>
#include <cmath>

namespace almondscale {

namespace {

    constexpr double durationMs = 40000;
    constexpr double splitStepMs = 200;
    constexpr double callerTimeoutMs = 5000;
    constexpr double roleChangeMs = 3000;
    // A decode engine prefills at half the speed.
    constexpr double directFactor = 2;
    constexpr Nanoseconds allowedPause = std::chrono::milliseconds(150);
    constexpr double loadReportMs = 100;
    constexpr double speedReportMs = 1000;
    constexpr double factorUpdateMs = 250;
    std::string routeOf(std::size_t type) { return "kind-" + std::to_string(type); }

    double millionPairs(double fresh, double before) { return fresh * (before + fresh / 2) / 1e6; }

} // namespace

struct SimulatedFleet::Job {
    std::size_t type = 0;
    HostView* host = nullptr;
    PlacementChoice decode;
    PromptShape prompt;
    double arrivedMs = 0;
    double sentMs = 0;
    double events = 0;
    double targetMs = 0;
    bool direct = false;
    BackendLoad load;
};

SimulatedFleet::SimulatedFleet(const SimulatedFleetSpec& spec, std::uint64_t seed)
    : m_spec(spec)
    , m_random(seededRandom(seed))
    , m_engines(static_cast<std::size_t>(spec.engines))
    , m_hosts([&spec] {
        std::vector<std::unique_ptr<HostView>> hosts;
        hosts.reserve(static_cast<std::size_t>(spec.hosts));
        for (int i = 0; i < spec.hosts; ++i)
            hosts.push_back(std::make_unique<HostView>());
        return hosts;
    }())
    , m_table(m_hosts.front()->table)
{
    PlacementOptions options;
    options.warmBeforeMs.reset();
    options.speedOf = [this](const ServiceName& service) { return m_speeds.speedOf(service); };
    options.hosts = [this] { return m_spec.hosts; };
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        options.random = seededRandom(1 + i);
        m_hosts[i]->placement = std::make_unique<Placement>(m_hosts[i]->table, DataCentre("a"), options);
    }
    m_engineSpec.slots = spec.slots;
    m_engineSpec.memory = TokenCount(spec.memoryTokens);
    for (int i = 0; i < spec.engines; ++i) {
        auto& engine = m_engines[static_cast<std::size_t>(i)];
        engine.id = BackendId("e" + std::to_string(i));
        m_byId[engine.id] = &engine;
        if (!spec.factors.empty())
            engine.factor = spec.factors[static_cast<std::size_t>(i) % spec.factors.size()];
        for (double ms = 0; spec.slowDownsPerSecond > 0 && ms < durationMs; ms += spec.slowDownMs) {
            ms -= std::log(1 - uniform(m_random)) * 1000 / spec.slowDownsPerSecond;
            engine.slowDownsMs.push_back(ms);
        }
        setRole(engine, i % 3 == 0 ? EngineRole::Prefill : EngineRole::Decode);
    }
}

void SimulatedFleet::setRole(Engine& engine, EngineRole role)
{
    engine.role = role;
    auto record = engineRecord(engine.id.text(), role, "a", 1);
    record.slots = m_spec.slots;
    for (const auto& host : m_hosts)
        host->table.put(record);
}

void SimulatedFleet::at(double ms, std::function<void()> action) { m_events.emplace(ms, std::move(action)); }

const std::vector<RequestType>& SimulatedFleet::types() const
{
    return m_nowMs < durationMs / 2 || m_spec.laterTypes.empty() ? m_spec.types : m_spec.laterTypes;
}

double SimulatedFleet::simulate(std::optional<int> fixedDecode)
{
    if (fixedDecode) {
        for (int i = 0; i < m_spec.engines; ++i)
            setRole(m_engines[static_cast<std::size_t>(i)],
                i < *fixedDecode ? EngineRole::Decode : EngineRole::Prefill);
    } else {
        for (const auto& order : m_split.decide(model, EngineDemand(), now()))
            changeRole(order, true);
        at(0, [this] { decideSplit(); });
    }
    for (std::size_t type = 0; type < m_spec.types.size(); ++type)
        at(0, [this, type] { arrive(type); });
    if (m_spec.hosts > 1)
        at(loadReportMs, [this] { exchangeLoads({}); });
    // Scheduled with and without learning, since the order of concurrent events depends on their number.
    if (m_spec.hosts > 1)
        at(factorUpdateMs, [this] { exchangeSpeeds({}); });
    while (!m_events.empty()) {
        auto event = m_events.top();
        m_events.pop();
        m_nowMs = std::max(m_nowMs, event.first);
        event.second();
    }
    return m_asked == 0 ? 1 : static_cast<double>(m_inTime) / m_asked;
}

void SimulatedFleet::decideSplit()
{
    const auto demand = m_demand.demand(now());
    const auto found = demand.find(model);
    for (const auto& order :
        m_split.decide(model, found == demand.end() ? EngineDemand() : found->second, now()))
        changeRole(order, false);
    if (m_nowMs < durationMs)
        at(m_nowMs + splitStepMs, [this] { decideSplit(); });
}

void SimulatedFleet::changeRole(const RoleAssignment& order, bool atOnce)
{
    ++m_orders;
    m_split.onOrdered(order, now());
    if (atOnce) {
        setRole(engine(order.engine), order.role);
        return;
    }
    const auto& record = m_table.find(order.engine)->record;
    for (const auto& host : m_hosts)
        host->table.noteBackoff(lifetimeOf(record), Deadline(now() + fromMs(roleChangeMs)), now());
    at(m_nowMs + roleChangeMs, [this, order] { setRole(engine(order.engine), order.role); });
}

void SimulatedFleet::arrive(std::size_t type)
{
    const auto& simulated = types()[type];
    if (m_nowMs < durationMs)
        at(m_nowMs - std::log(1 - uniform(m_random)) * 1000 / std::max(0.01, simulated.perSecond),
            [this, type] { arrive(type); });
    if (m_nowMs == 0)
        return;
    ++m_asked;
    const auto job = std::make_shared<Job>();
    job->type = type;
    auto& host = *m_hosts[m_spec.hosts > 1 ? uniformBelow(m_random, m_hosts.size()) : 0];
    job->host = &host;
    ++m_counts[type].requested;
    job->arrivedMs = m_nowMs;
    job->targetMs = simulated.targetMs;
    job->events = 1 - simulated.events * std::log(1 - uniform(m_random));
    auto& prompt = job->prompt;
    if (simulated.prefixes > 0) {
        prompt.prefixHash = 1 + type * 1000 + uniformBelow(m_random, simulated.prefixes);
        prompt.prefixTokens = TokenCount(simulated.prefixTokens);
    }
    const double own
        = static_cast<double>(simulated.uniqueTokens) * (0.4 - 0.6 * std::log(1 - uniform(m_random)));
    prompt.tokens = prompt.prefixTokens + TokenCount(static_cast<std::int64_t>(std::max(16.0, own)));
    const auto route = routeOf(type);
    m_demand.onRequest(model, prompt, cachedWorkMs(prompt), m_times.holdMs(route), now());
    const auto prefill = choose(host, EngineRole::Prefill, *job,
        [&] { return host.placement->choosePrefill(model, prompt, {}, targetTime(*job), now()); });
    const auto direct = m_spec.policy == SimulatedPolicy::Placement
        ? host.placement->chooseDirect(model, m_engineSpec, prompt, allowedPause, {}, now())
        : std::nullopt;
    // Callers do not wait for longer.
    if (prefill && prefill->expectedMs > callerTimeoutMs && !direct)
        return;
    if (direct && (!prefill || direct->expectedMs < prefill->expectedMs))
        sendOn(job, *direct, true);
    else if (prefill)
        sendOn(job, *prefill, false);
}

double SimulatedFleet::cachedWorkMs(const PromptShape& prompt) const
{
    return m_speeds.speedOf(model).workMs(prompt.tokens, prompt.prefixTokens);
}

double SimulatedFleet::readMs(Engine& engine, const PromptShape& prompt)
{
    const auto cached
        = std::find(engine.cachedPrefixes.begin(), engine.cachedPrefixes.end(), prompt.prefixHash);
    const bool kept = prompt.prefixHash == 0 || cached != engine.cachedPrefixes.end();
    if (prompt.prefixHash != 0) {
        if (cached != engine.cachedPrefixes.end())
            engine.cachedPrefixes.erase(cached);
        engine.cachedPrefixes.push_front(prompt.prefixHash);
        const auto most = static_cast<std::size_t>(std::max<std::int64_t>(
            1, m_spec.memoryTokens / std::max<std::int64_t>(1, prompt.prefixTokens.count()) / 2));
        while (engine.cachedPrefixes.size() > most)
            engine.cachedPrefixes.pop_back();
    }
    const double before = kept ? static_cast<double>(prompt.prefixTokens.count()) : 0;
    const double fresh = static_cast<double>(prompt.tokens.count()) - before;
    return fresh * m_spec.msPerToken + millionPairs(fresh, before) * m_spec.msPerMillionPairs;
}

void SimulatedFleet::sendOn(const std::shared_ptr<Job>& job, const PlacementChoice& choice, bool direct)
{
    auto& at = engine(choice.backend);
    job->direct = direct;
    auto& host = *job->host;
    if (direct) {
        const auto id = choice.backend;
        const BackendLoad reading { choice.workMs, 0, 0 };
        host.table.open(id, reading);
        const double stallMs = directFactor * readMs(at, job->prompt) * at.factor;
        const double beforeFirst = m_spec.baseMs + stallMs;
        at.stalledMs += stallMs;
        m_demand.addWork(model, -cachedWorkMs(job->prompt), choice.workMs * m_spec.slots, now());
        this->at(m_nowMs + beforeFirst, [&host, id, reading] { host.table.close(id, reading); });
        decodeAt(job, choice, beforeFirst);
        return;
    }
    host.table.open(choice.backend, choice.prefillLoad());
    host.table.noteSentPrefix(choice.backend, job->prompt.prefixHash, now());
    if (job->prompt.prefixHash != 0)
        m_sentPrefixes.insert({ backendHash(choice.backend), job->prompt.prefixHash });
    m_longestQueue = std::max(m_longestQueue, ++at.openPrefills);
    if (choice.cached < job->prompt.prefixTokens)
        m_demand.addWork(model, choice.workMs - cachedWorkMs(job->prompt), 0, now());
    at.freeAtMs = workEnd(at, std::max(at.freeAtMs, m_nowMs), readMs(at, job->prompt));
    const double sent = m_nowMs;
    this->at(at.freeAtMs + m_spec.baseMs, [this, job, choice, sent, &at, &host] {
        --at.openPrefills;
        const double takenMs = m_nowMs - sent;
        host.table.close(choice.backend, choice.prefillLoad());
        host.table.noteSpeed(choice.backend, fromMs(takenMs), fromMs(choice.nominalMs * choice.factor));
        m_speeds.notePrefill(
            model, { job->prompt.tokens, choice.cached, choice.queuedMs, takenMs / choice.factor });
        host.factors.notePrefill(lifetimeOf(host.table.find(choice.backend)->record), takenMs,
            choice.nominalMs, choice.sampleWeight(), now());
        const auto route = routeOf(job->type);
        const StreamRequirements needs { m_times.firstEventMs(route), m_times.holdMs(route),
            targetTime(*job) };
        const auto decode = choose(host, EngineRole::Decode, *job, [&] {
            return host.placement->chooseDecode(
                model, m_engineSpec, job->prompt, needs, DataCentre("a"), {}, now());
        });
        if (decode)
            decodeAt(
                job, *decode, m_spec.transferMsPerToken * static_cast<double>(job->prompt.tokens.count()));
    });
}

double SimulatedFleet::inTime(std::size_t type) const
{
    const auto& count = m_counts.at(type);
    return static_cast<double>(count.inTime) / count.requested;
}

double SimulatedFleet::workEnd(const Engine& engine, double beginMs, double nominalMs) const
{
    double at = beginMs;
    double leftMs = nominalMs * engine.factor;
    for (const double slowMs : engine.slowDownsMs) {
        const double until = slowMs + m_spec.slowDownMs;
        if (until <= at)
            continue;
        const double before = std::max(0.0, slowMs - at);
        if (leftMs <= before)
            break;
        at += before;
        leftMs -= before;
        const double slowly = std::min(leftMs * m_spec.slowDownFactor, until - at);
        at += slowly;
        leftMs -= slowly / m_spec.slowDownFactor;
    }
    return at + leftMs;
}

std::optional<PlacementChoice> SimulatedFleet::choose(HostView& host, EngineRole role, const Job& job,
    const std::function<std::optional<PlacementChoice>()>& byPlacement)
{
    if (m_spec.policy == SimulatedPolicy::Placement)
        return byPlacement();
    const auto usable = host.table.usable(model, now(), role);
    if (usable.empty())
        return std::nullopt;
    auto chosen = usable[host.turn++ % usable.size()]->record.id;
    const auto open = [&](const BackendId& id) {
        if (m_spec.hosts == 1 || role == EngineRole::Decode)
            return role == EngineRole::Prefill ? engine(id).openPrefills
                                               : host.table.find(id)->load().requests;
        return engine(id).reportedPrefills;
    };
    for (std::size_t i = 0; m_spec.policy == SimulatedPolicy::FewestWaiting && i < usable.size(); ++i) {
        if (open(usable[i]->record.id) < open(chosen))
            chosen = usable[i]->record.id;
    }
    PlacementChoice choice;
    choice.backend = chosen;
    choice.workMs = choice.nominalMs = m_speeds.speedOf(model).prefillMs(job.prompt.tokens, TokenCount(0));
    return choice;
}

void SimulatedFleet::exchangeLoads(std::vector<BackendTable::Loads> snapshot)
{
    // The loads of the previous turn are known now.
    BackendTable::Loads total;
    for (const auto& loads : snapshot) {
        for (const auto& [server, load] : loads)
            total[server] += load;
    }
    for (std::size_t i = 0; i < snapshot.size(); ++i) {
        auto others = total;
        for (const auto& [server, load] : snapshot[i])
            others[server] -= load;
        m_hosts[i]->table.setRemoteLoads(others);
        m_hosts[i]->table.noteRemotePrefixes(m_sentPrefixes, now());
    }
    m_sentPrefixes.clear();
    for (auto& engine : m_engines)
        engine.reportedPrefills = std::exchange(engine.countedPrefills, engine.openPrefills);
    snapshot.clear();
    for (const auto& host : m_hosts)
        snapshot.push_back(host->table.localLoads());
    if (m_nowMs < durationMs)
        at(m_nowMs + loadReportMs, [this, snapshot] { exchangeLoads(snapshot); });
}

void SimulatedFleet::exchangeSpeeds(std::vector<ServerSpeeds::Sums> snapshot)
{
    ServerSpeeds::Sums total;
    for (const auto& sums : snapshot) {
        for (const auto& [server, sum] : sums)
            total[server] += sum;
    }
    for (std::size_t i = 0; i < snapshot.size(); ++i) {
        auto others = total;
        for (const auto& [server, sum] : snapshot[i])
            others[server] -= sum;
        m_hosts[i]->factors.setRemoteSums(std::move(others), now() - fromMs(speedReportMs));
    }
    for (const auto& host : m_hosts) {
        if (m_spec.learnsFactors)
            host->factors.update(host->table, now());
    }
    snapshot.clear();
    for (const auto& host : m_hosts)
        snapshot.push_back(host->factors.localSums(now()));
    if (m_nowMs < durationMs)
        at(m_nowMs + speedReportMs, [this, snapshot] { exchangeSpeeds(snapshot); });
}

Deadline SimulatedFleet::targetTime(const Job& job) const
{
    return Deadline(testStart + fromMs(job.arrivedMs + job.targetMs));
}

void SimulatedFleet::decodeAt(
    const std::shared_ptr<Job>& job, const PlacementChoice& choice, double beforeFirstMs)
{
    auto& engine = this->engine(choice.backend);
    job->load = choice.streamLoad(job->prompt.tokens);
    job->decode = choice;
    job->host->table.open(engine.id, job->load);
    job->sentMs = m_nowMs;
    auto start = [this, job, &engine, beforeFirstMs] {
        ++engine.running;
        const double first = workEnd(engine, m_nowMs + beforeFirstMs, m_spec.eventMs);
        const double end = workEnd(engine, first, (job->events - 1) * m_spec.eventMs);
        const int inTime = first <= job->arrivedMs + job->targetMs ? 1 : 0;
        m_inTime += inTime;
        m_counts[job->type].inTime += inTime;
        const double stalled = engine.stalledMs;
        at(end, [this, job, &engine, first, stalled] { endStream(job, engine, first, stalled); });
    };
    if (engine.running < m_spec.slots)
        start();
    else
        engine.waiting[choice.deferred].emplace_back(std::move(start));
}

void SimulatedFleet::endStream(
    const std::shared_ptr<Job>& job, Engine& engine, double firstMs, double stalledMs)
{
    const double stalled = engine.stalledMs;
    if (stalled > stalledMs) {
        at(m_nowMs + stalled - stalledMs,
            [this, job, &engine, firstMs, stalled] { endStream(job, engine, firstMs, stalled); });
        return;
    }
    --engine.running;
    auto& host = *job->host;
    host.table.close(engine.id, job->load);
    if (job->events >= 4) {
        const double eventMs = (m_nowMs - firstMs) / (job->events - 1);
        const double running = std::max(0, job->decode.running) + 1;
        host.factors.noteDecode(lifetimeOf(host.table.find(engine.id)->record), eventMs,
            host.pace.eventMs(model, running), 1, now());
        host.pace.noteStream(model, running, eventMs / job->decode.factor);
    }
    const auto since = [&](double ms) { return fromMs(ms - job->sentMs); };
    if (!job->direct)
        m_times.noteStream(routeOf(job->type), since(firstMs), since(m_nowMs));
    auto& waiting = engine.waiting[engine.waiting[0].empty()];
    if (waiting.empty())
        return;
    const auto next = std::move(waiting.front());
    waiting.pop_front();
    next();
}

SimulatedFleetSpec drawFleet(std::uint64_t seed, double utilisation)
{
    const auto random = seededRandom(seed);
    const auto between
        = [&](double least, double most) { return least * std::pow(most / least, uniform(random)); };
    SimulatedFleetSpec spec;
    spec.engines = static_cast<int>(between(4, 40));
    spec.slots = static_cast<int>(between(8, 128));
    spec.baseMs = between(5, 80);
    spec.msPerToken = between(0.01, 0.04);
    spec.msPerMillionPairs = between(0.1, 0.5);
    spec.eventMs = between(15, 60);
    spec.transferMsPerToken = between(10, 300) * 1e-5;
    spec.memoryTokens = 400000;
    const auto drawTypes = [&] {
        const double longPart = uniform(random);
        const double sharedPart = uniform(random);
        std::vector<RequestType> types(2);
        types[0]
            = { 1 - longPart, static_cast<std::int64_t>(between(100, 1000)), 100, 40, between(3, 40), 0 };
        types[1] = { longPart / 8, static_cast<std::int64_t>(between(1500, 6000)),
            static_cast<std::int64_t>(14000 * sharedPart), 30, between(3, 40), 0 };
        double engines = 0;
        for (auto& type : types) {
            const double fresh = static_cast<double>(type.uniqueTokens);
            const double read = fresh * spec.msPerToken
                + millionPairs(fresh, static_cast<double>(type.prefixTokens)) * spec.msPerMillionPairs;
            const double transfer
                = spec.transferMsPerToken * static_cast<double>(type.uniqueTokens + type.prefixTokens);
            const double hold = transfer + type.events * spec.eventMs;
            type.targetMs = 150 + 2.5 * (spec.baseMs + read + transfer + spec.eventMs);
            engines += type.perSecond * (read + hold / spec.slots) / 1000;
        }
        for (auto& type : types)
            type.perSecond *= utilisation * spec.engines / engines;
        return types;
    };
    spec.types = drawTypes();
    spec.laterTypes = drawTypes();
    return spec;
}

} // namespace almondscale
