#include "Shift/PoolRun.h"

#include "Admission/AdmissionQueue.h"
#include "Core/RandomSource.h"
#include "Roles/RoleCapacity.h"
#include "Routing/Router.h"
#include "Shift/EngineModel.h"

#include <algorithm>
#include <deque>
#include <queue>
#include <utility>

namespace almondscale {

namespace {

    using std::chrono::milliseconds;

    constexpr Nanoseconds loadPeriod = milliseconds(200);
    constexpr Nanoseconds loadLag = milliseconds(300);
    constexpr Nanoseconds demandPeriod = milliseconds(1000);
    constexpr Nanoseconds demandLag = milliseconds(1000);
    constexpr Nanoseconds decidePeriod = milliseconds(1000);
    constexpr Nanoseconds sweepPeriod = milliseconds(50);
    // Until every live host has acknowledged that an engine closes.
    constexpr Nanoseconds closingTime = milliseconds(500);
    constexpr Nanoseconds drainPoll = milliseconds(50);
    // KV cache moved between engines: the start, and each token.
    constexpr Nanoseconds moveStart = milliseconds(5);
    constexpr Nanoseconds movePerToken = std::chrono::microseconds(11);
    constexpr Nanoseconds crashTime = std::chrono::seconds(60);
    constexpr Nanoseconds crashInChangeTime = std::chrono::seconds(20);
    constexpr Nanoseconds leaseTerm = std::chrono::minutes(5);
    // The prompt's bytes that a waiting request holds for each token.
    constexpr std::int64_t bytesPerToken = 4;

    enum class EventKind {
        StepEnd,
        Arrive,
        Expire,
        Moved,
        SampleLoad,
        DeliverLoad,
        SampleDemand,
        DeliverDemand,
        Decide,
        Sweep,
        Pump,
        PollDrain,
        EngineBack,
        Fault,
    };

    struct Event {
        MonotonicTime at;
        std::uint64_t order;
        EventKind kind;
        std::size_t index;
        std::uint64_t stamp;

        friend bool operator>(const Event& a, const Event& b)
        {
            return a.at > b.at || (a.at == b.at && a.order > b.order);
        }
    };

    enum class Ending {
        None,
        InTime,
        Refused,
        Late,
    };

    struct RequestState {
        Ending ending = Ending::None;
        int attempts = 0;
        // The engines of the attempt under way; -1 for none.
        int prefillEngine = -1;
        int decodeEngine = -1;
        bool handedOver = false;
        std::optional<MonotonicTime> firstToken;
    };

    double millisecondsOf(Nanoseconds time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

} // namespace

class PoolRun::Impl {
public:
    Impl(const PoolRunSetup& setup, const PoolArrivals& pool)
        : m_setup(setup)
        , m_pool(pool)
        , m_capacity(setup.fleet.speeds)
        , m_random(seededRandom(setup.seed))
        , m_requests(pool.arrivals.size())
    {
        makeEngines();
        makeHosts();
        m_policy = m_setup.policy(policySetup());
    }

    PoolResult run();

private:
    struct Engine {
        EngineId id;
        std::unique_ptr<EngineModel> model;
        EngineAvailability state = EngineAvailability::Open;
        EngineReadiness readiness = EngineReadiness::Ready;
        EngineRole nextRole = EngineRole::Mixed;
        std::uint64_t boot = 1;
        // Requests that other engines are preparing for this one.
        int promised = 0;
    };
    struct Host {
        HostId id;
        std::unique_ptr<Router> router;
        std::unique_ptr<AdmissionQueue> queue;
        DemandReport demand;
        bool sweepScheduled = false;
    };
    struct LoadSample {
        std::size_t engine;
        LoadReport report;
    };
    struct DemandSample {
        std::size_t host;
        DemandReport report;
    };

    void makeEngines();
    void makeHosts();
    PoolPolicySetup policySetup() const;
    std::vector<EngineView> views() const;
    void tellHostsOfEngines();
    EngineSpeed routerSpeed(EngineRole) const;

    void schedule(MonotonicTime, EventKind, std::size_t index = 0, std::uint64_t stamp = 0);
    void scheduleStep(std::size_t engine);
    void handle(const Event&);

    void arrive(std::size_t request);
    void enqueue(std::size_t request);
    void pump(std::size_t host);
    void sweep(std::size_t host);
    void refuse(const RequestId&);
    void send(std::size_t request, Host&, const RouteChoice&);
    void submitTo(std::size_t engine, std::size_t request, EngineWork::Part);
    void expire(std::size_t request);
    void onPrefilled(std::size_t engine, std::size_t request);
    void onFinished(std::size_t engine, std::size_t request);
    void handOver(std::size_t request);
    std::optional<std::size_t> decodeEngineFor(std::size_t request) const;
    void forget(std::size_t request);
    void end(std::size_t request, Ending);

    void sampleLoad();
    void deliverLoad();
    void sampleDemand();
    void deliverDemand();
    void decide();
    void beginChange(const RoleChange&);
    void pollDrain(std::size_t engine);
    void engineBack(std::size_t engine);
    void inject();
    void crash(std::size_t engine);
    bool leaseHeld() const;
    void checkEngine(std::size_t engine);
    void checkRequests();

    AttemptId attemptId(std::size_t request) const;
    RouteRequest routeRequest(std::size_t request) const;
    std::size_t indexOf(const EngineId&) const;
    Host& hostOf(std::size_t request)
    {
        return m_hosts[static_cast<std::size_t>(m_pool.arrivals[request].host)];
    }
    bool runOver() const { return m_now >= MonotonicTime(m_setup.length); }

    PoolRunSetup m_setup;
    const PoolArrivals& m_pool;
    RoleCapacity m_capacity;
    RandomSource m_random;
    MonotonicTime m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<RequestState> m_requests;
    std::vector<Engine> m_engines;
    std::vector<Host> m_hosts;
    PoolPolicy m_policy;
    std::deque<LoadSample> m_loads;
    std::deque<DemandSample> m_demands;
    std::uint64_t m_loadSequence = 0;
    int m_changesBegun = 0;
    std::size_t m_ended = 0;
    PoolResult m_result;
};

void PoolRun::Impl::makeEngines()
{
    for (int i = 0; i < m_pool.engines; ++i) {
        const auto index = static_cast<std::size_t>(i);
        auto role = EngineRole::Mixed;
        if (i < m_setup.initialRoles.prefill)
            role = EngineRole::Prefill;
        else if (i < m_setup.initialRoles.prefill + m_setup.initialRoles.decode)
            role = EngineRole::Decode;
        Engine engine;
        engine.id = EngineId("e" + std::to_string(i));
        EngineEvents events;
        events.prefilled = [this, index](RequestIndex request) { onPrefilled(index, request); };
        events.finished = [this, index](RequestIndex request) { onFinished(index, request); };
        engine.model = std::make_unique<EngineModel>(m_setup.fleet.speeds, role, std::move(events));
        m_engines.push_back(std::move(engine));
    }
}

void PoolRun::Impl::makeHosts()
{
    RouterOptions routerOptions;
    routerOptions.dataCentre = DataCentre("dc");
    AdmissionOptions admissionOptions;
    admissionOptions.initialWorkPerSecond = m_pool.engines / static_cast<double>(m_pool.hosts);
    for (int i = 0; i < m_pool.hosts; ++i) {
        Host host;
        host.id = HostId("h" + std::to_string(i));
        host.router = std::make_unique<Router>(routerOptions, shortestExpectedWork(),
            seededRandom(m_setup.seed * 1000 + static_cast<std::uint64_t>(i)));
        host.router->setLivePeers(m_pool.hosts - 1);
        host.queue = std::make_unique<AdmissionQueue>(admissionOptions);
        m_hosts.push_back(std::move(host));
    }
    tellHostsOfEngines();
}

PoolPolicySetup PoolRun::Impl::policySetup() const
{
    return { m_setup.fleet.speeds, m_setup.fleet.roleChange, m_pool.engines };
}

EngineSpeed PoolRun::Impl::routerSpeed(EngineRole role) const
{
    const auto& speeds = m_setup.fleet.speeds;
    const auto chunk = role == EngineRole::Prefill ? speeds.prefillChunk : speeds.mixedChunk;
    const double chunkMs = millisecondsOf(speeds.stepBase + chunk.count() * speeds.perPrefillToken);
    // A full batch, and beside it a full chunk of prefill if the engine takes any.
    const int chunkTokens = role == EngineRole::Mixed ? static_cast<int>(chunk.count()) : 0;
    const double stepMs = millisecondsOf(
        speeds.stepBase + speeds.decodeSlots * speeds.perDecodeSlot + chunkTokens * speeds.perPrefillToken);
    EngineSpeed speed;
    speed.prefillTokensPerSecond = 1000 * static_cast<double>(chunk.count()) / chunkMs;
    speed.decodeTokensPerSecond = 1000 / stepMs;
    speed.slots = speeds.decodeSlots;
    speed.tokensPerBlock = speeds.tokensPerBlock;
    speed.kvBytesPerSecond = speed.kvBytesPerToken * 1e9 / static_cast<double>(movePerToken.count());
    return speed;
}

std::vector<EngineView> PoolRun::Impl::views() const
{
    std::vector<EngineView> views;
    for (const auto& engine : m_engines) {
        EngineView view;
        view.id = engine.id;
        view.model = ModelName("m");
        view.dataCentre = DataCentre("dc");
        view.role = engine.model->role();
        view.state = engine.state;
        view.speed = routerSpeed(view.role);
        views.push_back(view);
    }
    return views;
}

void PoolRun::Impl::tellHostsOfEngines()
{
    const auto all = views();
    for (auto& host : m_hosts)
        host.router->setEngines(all);
}

void PoolRun::Impl::schedule(MonotonicTime at, EventKind kind, std::size_t index, std::uint64_t stamp)
{
    m_events.push({ at, m_order++, kind, index, stamp });
}

// The stamp is the step's number, so that the end of a step that a crash cut off is ignored.
void PoolRun::Impl::scheduleStep(std::size_t engine)
{
    const auto& model = *m_engines[engine].model;
    if (const auto end = model.stepEnd())
        schedule(*end, EventKind::StepEnd, engine, static_cast<std::uint64_t>(model.totals().steps));
}

std::size_t PoolRun::Impl::indexOf(const EngineId& id) const
{
    return static_cast<std::size_t>(std::stoul(id.text().substr(1)));
}

AttemptId PoolRun::Impl::attemptId(std::size_t request) const
{
    return AttemptId(std::to_string(request) + "." + std::to_string(m_requests[request].attempts));
}

RouteRequest PoolRun::Impl::routeRequest(std::size_t request) const
{
    const auto& arrival = m_pool.arrivals[request];
    RouteRequest route;
    route.model = ModelName("m");
    route.promptTokens = TokenCount(arrival.promptTokens);
    route.outputTokens = TokenCount(arrival.outputTokens);
    route.prefix = PrefixHash(static_cast<std::uint64_t>(arrival.prefix));
    route.prefixTokens = TokenCount(arrival.prefixTokens);
    route.deadline = Deadline(arrival.deadline);
    return route;
}

void PoolRun::Impl::arrive(std::size_t request)
{
    const auto& arrival = m_pool.arrivals[request];
    if (request + 1 < m_pool.arrivals.size())
        schedule(m_pool.arrivals[request + 1].at, EventKind::Arrive, request + 1);
    schedule(arrival.deadline, EventKind::Expire, request);
    auto& demand = hostOf(request).demand;
    ++demand.requests;
    demand.prefillTokens += TokenCount(arrival.promptTokens - arrival.prefixTokens);
    demand.decodeTokens += TokenCount(arrival.outputTokens - 1);
    demand.contextTokens += TokenCount(arrival.promptTokens + arrival.outputTokens);
    enqueue(request);
}

void PoolRun::Impl::enqueue(std::size_t request)
{
    const auto& arrival = m_pool.arrivals[request];
    auto& host = hostOf(request);
    const Demand size { 1, static_cast<double>(arrival.promptTokens - arrival.prefixTokens),
        static_cast<double>(arrival.outputTokens - 1),
        static_cast<double>(arrival.promptTokens + arrival.outputTokens) };
    WaitingRequest waiting;
    waiting.id = RequestId(std::to_string(request));
    waiting.deadline = Deadline(arrival.deadline);
    waiting.bytes = ByteCount(arrival.promptTokens * bytesPerToken);
    waiting.serviceTime = host.router->unloadedTime(routeRequest(request)).value_or(Nanoseconds(0));
    const double work = m_capacity.prefillSeconds(size) + m_capacity.decodeSeconds(size);
    waiting.work = std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(work));
    if (const auto refusal = host.queue->submit(waiting, m_now)) {
        refuse(refusal->id);
        return;
    }
    const auto index = static_cast<std::size_t>(arrival.host);
    pump(index);
    sweep(index);
}

void PoolRun::Impl::refuse(const RequestId& id) { end(std::stoul(id.text()), Ending::Refused); }

void PoolRun::Impl::pump(std::size_t index)
{
    auto& host = m_hosts[index];
    while (const auto next = host.queue->next(m_now)) {
        const std::size_t request = std::stoul(next->id.text());
        const auto choice = host.router->choose(routeRequest(request), m_now);
        if (choice) {
            host.queue->take(next->id, m_now);
            send(request, host, choice.value());
            continue;
        }
        if (choice.kind() != ErrorKind::DeadlineUnreachable)
            return;
        host.queue->remove(next->id);
        end(request, Ending::Refused);
    }
}

void PoolRun::Impl::sweep(std::size_t index)
{
    auto& host = m_hosts[index];
    for (const auto& refusal : host.queue->sweep(m_now))
        refuse(refusal.id);
    if (host.queue->size() == 0 || host.sweepScheduled)
        return;
    host.sweepScheduled = true;
    schedule(m_now + sweepPeriod, EventKind::Sweep, index);
}

void PoolRun::Impl::send(std::size_t request, Host& host, const RouteChoice& choice)
{
    const auto& arrival = m_pool.arrivals[request];
    auto& state = m_requests[request];
    ++state.attempts;
    state.handedOver = false;
    state.prefillEngine = static_cast<int>(indexOf(choice.prefill));
    state.decodeEngine = static_cast<int>(indexOf(choice.decode));
    const TokenCount prompt(arrival.promptTokens);
    const TokenCount output(arrival.outputTokens);
    const PrefixHash prefix(static_cast<std::uint64_t>(arrival.prefix));
    const auto attempt = attemptId(request);
    if (!choice.movesCache()) {
        host.router->onSent(attempt, choice.prefill, prompt, output, prefix, m_now);
        submitTo(indexOf(choice.prefill), request, EngineWork::Part::Whole);
        return;
    }
    host.router->onSent(attempt, choice.prefill, prompt, TokenCount(0), prefix, m_now);
    host.router->onSent(attempt, choice.decode, TokenCount(0), output, prefix, m_now);
    ++m_engines[indexOf(choice.decode)].promised;
    submitTo(indexOf(choice.prefill), request, EngineWork::Part::Prefill);
}

void PoolRun::Impl::submitTo(std::size_t engine, std::size_t request, EngineWork::Part part)
{
    const auto& arrival = m_pool.arrivals[request];
    EngineWork work;
    work.request = static_cast<RequestIndex>(request);
    work.promptTokens = arrival.promptTokens;
    work.outputTokens
        = part == EngineWork::Part::Prefill ? std::max(2, arrival.outputTokens) : arrival.outputTokens;
    work.prefix = arrival.prefix;
    work.prefixTokens = arrival.prefixTokens;
    work.part = part;
    auto& model = *m_engines[engine].model;
    const auto steps = model.totals().steps;
    model.submit(work, m_now);
    if (model.totals().steps != steps)
        scheduleStep(engine);
}

// Tells the host's router that an attempt is over and takes it off the engines.
void PoolRun::Impl::forget(std::size_t request)
{
    auto& state = m_requests[request];
    if (state.prefillEngine < 0)
        return;
    auto& router = *hostOf(request).router;
    const auto attempt = attemptId(request);
    const bool split = state.prefillEngine != state.decodeEngine;
    router.onFinished(attempt, m_engines[static_cast<std::size_t>(state.prefillEngine)].id, m_now);
    if (split) {
        auto& decode = m_engines[static_cast<std::size_t>(state.decodeEngine)];
        router.onFinished(attempt, decode.id, m_now);
        if (!state.handedOver)
            --decode.promised;
    }
    for (const int engine : { state.prefillEngine, state.decodeEngine }) {
        const auto index = static_cast<std::size_t>(engine);
        auto& model = *m_engines[index].model;
        const auto steps = model.totals().steps;
        model.cancel(static_cast<RequestIndex>(request), m_now);
        if (model.totals().steps != steps)
            scheduleStep(index);
    }
    state.prefillEngine = -1;
    state.decodeEngine = -1;
}

void PoolRun::Impl::expire(std::size_t request)
{
    if (m_requests[request].ending != Ending::None)
        return;
    hostOf(request).queue->remove(RequestId(std::to_string(request)));
    forget(request);
    end(request, Ending::Late);
}

void PoolRun::Impl::end(std::size_t request, Ending ending)
{
    auto& state = m_requests[request];
    if (state.ending != Ending::None) {
        m_result.violations.push_back("request " + std::to_string(request) + " ended twice");
        return;
    }
    state.ending = ending;
    ++m_ended;
    const auto bucket = static_cast<std::size_t>(
        m_pool.arrivals[request].at.time_since_epoch() / Nanoseconds(resultBucket));
    m_result.offeredInBucket.resize(std::max(m_result.offeredInBucket.size(), bucket + 1));
    m_result.completeInBucket.resize(m_result.offeredInBucket.size());
    ++m_result.offered;
    ++m_result.offeredInBucket[bucket];
    if (ending == Ending::Refused)
        ++m_result.refused;
    if (ending == Ending::Late)
        ++m_result.late;
    if (ending != Ending::InTime)
        return;
    ++m_result.completeInTime;
    ++m_result.completeInBucket[bucket];
}

void PoolRun::Impl::onPrefilled(std::size_t engine, std::size_t request)
{
    auto& state = m_requests[request];
    const auto& arrival = m_pool.arrivals[request];
    if (!state.firstToken) {
        state.firstToken = m_now;
        m_result.firstTokens.push_back(static_cast<float>(millisecondsOf(m_now - arrival.at)));
    }
    hostOf(request).router->onFirstToken(attemptId(request), m_engines[engine].id, m_now);
    if (state.prefillEngine == state.decodeEngine)
        return;
    const auto move = moveStart + arrival.promptTokens * movePerToken;
    schedule(m_now + move, EventKind::Moved, request, static_cast<std::uint64_t>(state.attempts));
}

std::optional<std::size_t> PoolRun::Impl::decodeEngineFor(std::size_t request) const
{
    const auto planned = static_cast<std::size_t>(m_requests[request].decodeEngine);
    const auto state = m_engines[planned].state;
    const bool decodes = m_engines[planned].model->role() != EngineRole::Prefill;
    if (decodes && (state == EngineAvailability::Open || state == EngineAvailability::Closing))
        return planned;
    return std::nullopt;
}

void PoolRun::Impl::handOver(std::size_t request)
{
    auto& state = m_requests[request];
    const auto from = static_cast<std::size_t>(state.prefillEngine);
    const auto to = decodeEngineFor(request);
    if (!to) {
        forget(request);
        enqueue(request);
        return;
    }
    hostOf(request).router->onFinished(attemptId(request), m_engines[from].id, m_now);
    auto& model = *m_engines[from].model;
    const auto steps = model.totals().steps;
    model.releaseMoved(static_cast<RequestIndex>(request), m_now);
    if (model.totals().steps != steps)
        scheduleStep(from);
    state.handedOver = true;
    --m_engines[*to].promised;
    if (m_pool.arrivals[request].outputTokens == 1) {
        onFinished(*to, request);
        return;
    }
    submitTo(*to, request, EngineWork::Part::Decode);
}

void PoolRun::Impl::onFinished(std::size_t engine, std::size_t request)
{
    auto& state = m_requests[request];
    const auto& arrival = m_pool.arrivals[request];
    auto& host = hostOf(request);
    host.router->onFinished(attemptId(request), m_engines[engine].id, m_now);
    state.prefillEngine = -1;
    state.decodeEngine = -1;
    if (arrival.outputTokens > 1 && state.firstToken) {
        const double gap = millisecondsOf(m_now - *state.firstToken) / (arrival.outputTokens - 1);
        m_result.tokenGaps.push_back(static_cast<float>(gap));
    }
    end(request, m_now <= arrival.deadline ? Ending::InTime : Ending::Late);
    schedule(m_now, EventKind::Pump, static_cast<std::size_t>(arrival.host));
}

void PoolRun::Impl::sampleLoad()
{
    ++m_loadSequence;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        const auto& engine = m_engines[i];
        const auto load = engine.model->load();
        LoadReport report;
        report.boot = engine.boot;
        report.running = load.running;
        report.queued = load.waiting;
        report.prefillTokens = TokenCount(load.prefillTokens);
        report.decodeTokens = TokenCount(load.decodeTokens);
        report.freeBlocks = BlockCount(load.freeBlocks);
        report.totalBlocks = m_setup.fleet.speeds.blocks;
        report.sequence = m_loadSequence;
        report.sampledAt = m_now;
        m_loads.push_back({ i, report });
    }
    schedule(m_now + loadLag, EventKind::DeliverLoad);
    if (m_ended < m_requests.size())
        schedule(m_now + loadPeriod, EventKind::SampleLoad);
}

void PoolRun::Impl::deliverLoad()
{
    const auto sequence = m_loads.front().report.sequence;
    while (!m_loads.empty() && m_loads.front().report.sequence == sequence) {
        const auto& sample = m_loads.front();
        for (auto& host : m_hosts)
            host.router->onLoadReport(m_engines[sample.engine].id, sample.report);
        m_loads.pop_front();
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        pump(i);
}

void PoolRun::Impl::sampleDemand()
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i) {
        auto& demand = m_hosts[i].demand;
        demand.uptime = std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
        const auto third = m_setup.length / 3;
        const bool silent
            = m_now.time_since_epoch() > third && m_now.time_since_epoch() < third + std::chrono::minutes(1);
        if (m_setup.fault == ShiftFault::LostReports && (silent || uniform(m_random) < 0.5))
            continue;
        m_demands.push_back({ i, demand });
        schedule(m_now + demandLag, EventKind::DeliverDemand);
    }
    if (!runOver())
        schedule(m_now + demandPeriod, EventKind::SampleDemand);
}

void PoolRun::Impl::deliverDemand()
{
    const auto sample = m_demands.front();
    m_demands.pop_front();
    // The reports travel as text.
    const auto report = readDemandReport(writeDemandReport(sample.report));
    m_policy.onDemand(m_hosts[sample.host].id, *report, m_now);
}

bool PoolRun::Impl::leaseHeld() const
{
    if (m_setup.fault != ShiftFault::CutOff || m_pool.dataCentre != 0)
        return true;
    const auto third = m_setup.length / 3;
    const auto time = m_now.time_since_epoch();
    return time < third || time >= 2 * third;
}

void PoolRun::Impl::decide()
{
    if (!runOver())
        schedule(m_now + decidePeriod, EventKind::Decide);
    if (m_setup.fault == ShiftFault::Successor && m_now.time_since_epoch() % leaseTerm < decidePeriod)
        m_policy = m_setup.policy(policySetup());
    if (!leaseHeld())
        return;
    std::vector<EngineStatus> statuses;
    for (const auto& engine : m_engines) {
        const bool changing = engine.readiness == EngineReadiness::Changing;
        const auto role = changing ? engine.nextRole : engine.model->role();
        statuses.push_back({ engine.id, role, engine.readiness, m_now - loadLag });
    }
    m_policy.onEngines(statuses, m_now);
    for (const auto& change : m_policy.decide(m_now))
        beginChange(change);
}

void PoolRun::Impl::beginChange(const RoleChange& change)
{
    const auto index = indexOf(change.engine);
    auto& engine = m_engines[index];
    if (engine.readiness != EngineReadiness::Ready || engine.model->role() != change.from) {
        m_result.violations.push_back("change ordered of an engine that is not ready");
        return;
    }
    engine.readiness = EngineReadiness::Changing;
    engine.nextRole = change.to;
    engine.state = EngineAvailability::Closing;
    tellHostsOfEngines();
    m_result.roleChanges.push_back({ m_now, change.from, change.to });
    schedule(m_now + closingTime, EventKind::PollDrain, index);
}

void PoolRun::Impl::pollDrain(std::size_t index)
{
    auto& engine = m_engines[index];
    if (engine.state != EngineAvailability::Closing && engine.state != EngineAvailability::Leaving)
        return;
    if (!engine.model->idle() || engine.promised > 0) {
        schedule(m_now + drainPoll, EventKind::PollDrain, index);
        return;
    }
    engine.state = EngineAvailability::Dead;
    tellHostsOfEngines();
    if (engine.readiness == EngineReadiness::Withdrawing)
        return;
    auto away = m_setup.fleet.roleChange;
    if (m_setup.fault == ShiftFault::CrashInChange && ++m_changesBegun % 2 == 1) {
        engine.nextRole = engine.model->role();
        away += crashInChangeTime;
    }
    schedule(m_now + away, EventKind::EngineBack, index);
}

void PoolRun::Impl::engineBack(std::size_t index)
{
    auto& engine = m_engines[index];
    engine.model->restart(engine.nextRole);
    ++engine.boot;
    engine.state = EngineAvailability::Open;
    engine.readiness = EngineReadiness::Ready;
    tellHostsOfEngines();
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        pump(i);
}

void PoolRun::Impl::crash(std::size_t index)
{
    auto& engine = m_engines[index];
    engine.nextRole = engine.model->role();
    engine.state = EngineAvailability::Dead;
    engine.readiness = EngineReadiness::Down;
    tellHostsOfEngines();
    for (const auto request : engine.model->restart(engine.model->role())) {
        // The callers' hosts see the connection break and send again elsewhere.
        forget(request);
        enqueue(request);
    }
    schedule(m_now + crashTime, EventKind::EngineBack, index);
}

void PoolRun::Impl::inject()
{
    const bool known = m_setup.fault == ShiftFault::EngineCrash || m_setup.fault == ShiftFault::Withdraw;
    if (!known || m_engines.size() < 2)
        return;
    if (m_engines[0].readiness != EngineReadiness::Ready) {
        schedule(m_now + decidePeriod, EventKind::Fault);
        return;
    }
    if (m_setup.fault == ShiftFault::EngineCrash) {
        crash(0);
        return;
    }
    m_engines[0].readiness = EngineReadiness::Withdrawing;
    m_engines[0].state = EngineAvailability::Leaving;
    tellHostsOfEngines();
    schedule(m_now + closingTime, EventKind::PollDrain, 0);
}

void PoolRun::Impl::handle(const Event& event)
{
    switch (event.kind) {
    case EventKind::StepEnd: {
        auto& model = *m_engines[event.index].model;
        if (model.stepEnd() != event.at || static_cast<std::uint64_t>(model.totals().steps) != event.stamp)
            return;
        model.finishStep(m_now);
        scheduleStep(event.index);
        return;
    }
    case EventKind::Arrive:
        return arrive(event.index);
    case EventKind::Expire:
        return expire(event.index);
    case EventKind::Moved: {
        const auto& state = m_requests[event.index];
        const bool current = static_cast<std::uint64_t>(state.attempts) == event.stamp;
        if (current && state.prefillEngine >= 0 && !state.handedOver)
            handOver(event.index);
        return;
    }
    case EventKind::SampleLoad:
        return sampleLoad();
    case EventKind::DeliverLoad:
        return deliverLoad();
    case EventKind::SampleDemand:
        return sampleDemand();
    case EventKind::DeliverDemand:
        return deliverDemand();
    case EventKind::Decide:
        return decide();
    case EventKind::Sweep:
        m_hosts[event.index].sweepScheduled = false;
        pump(event.index);
        return sweep(event.index);
    case EventKind::Pump:
        return pump(event.index);
    case EventKind::PollDrain:
        return pollDrain(event.index);
    case EventKind::EngineBack:
        return engineBack(event.index);
    case EventKind::Fault:
        return inject();
    }
}

// No engine may have done more than its speed allows in the time that has passed.
void PoolRun::Impl::checkEngine(std::size_t index)
{
    const auto& totals = m_engines[index].model->totals();
    const auto& speeds = m_setup.fleet.speeds;
    const auto needed = totals.steps * speeds.stepBase + totals.prefillTokens * speeds.perPrefillToken
        + totals.decodeTokens * speeds.perDecodeSlot;
    if (needed != totals.busy)
        m_result.violations.push_back("engine " + std::to_string(index) + ": work and busy time differ");
    if (totals.busy > m_now.time_since_epoch())
        m_result.violations.push_back("engine " + std::to_string(index) + ": busier than the run is long");
}

void PoolRun::Impl::checkRequests()
{
    const auto open = std::count_if(m_requests.begin(), m_requests.end(),
        [](const RequestState& state) { return state.ending == Ending::None; });
    if (open > 0)
        m_result.violations.push_back(std::to_string(open) + " requests never ended");
    if (m_result.completeInTime + m_result.refused + m_result.late != m_result.offered)
        m_result.violations.push_back("the endings do not add up to the requests");
}

PoolResult PoolRun::Impl::run()
{
    if (!m_pool.arrivals.empty())
        schedule(m_pool.arrivals.front().at, EventKind::Arrive, 0);
    schedule(m_now, EventKind::SampleLoad);
    schedule(m_now, EventKind::SampleDemand);
    schedule(m_now + decidePeriod, EventKind::Decide);
    schedule(MonotonicTime(m_setup.length / 3), EventKind::Fault);
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        handle(event);
    }
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        checkEngine(i);
    checkRequests();
    return std::move(m_result);
}

PoolRun::PoolRun(const PoolRunSetup& setup, const PoolArrivals& pool)
    : m_impl(std::make_unique<Impl>(setup, pool))
{
}

PoolRun::~PoolRun() = default;

PoolResult PoolRun::run() { return m_impl->run(); }

} // namespace almondscale
