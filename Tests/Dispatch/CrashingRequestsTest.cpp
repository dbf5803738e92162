#include "Core/RandomSource.h"
#include "Dispatch/CrashStrikes.h"
#include "Dispatch/FingerprintClaims.h"
#include "Dispatch/QuarantineScheduler.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <queue>

using namespace almondscale;
using namespace std::chrono_literals;

namespace {

constexpr int hostCount = 8;
constexpr int engineCount = 6;
constexpr Nanoseconds settleTime = CrashStrikeOptions {}.settleTime;
// Requests with fingerprints up to this one crash every engine that runs them.
constexpr std::uint64_t maxBad = 9;

struct Request {
    RequestId id;
    Fingerprint fingerprint;
    int host = 0;
    MonotonicTime arrivedAt;

    bool bad() const { return fingerprint.count() <= maxBad; }
};

struct Attempt {
    Request request;
    bool alone = false;
};

struct Engine {
    EngineId id;
    std::uint64_t boot = 1;
    bool up = true;
    std::vector<Attempt> running;

    EngineInstance run() const { return { id, boot }; }
};

struct CrashOutcome {
    std::map<Fingerprint, int> enginesLost;
    int goodSent = 0;
    int goodAnswered = 0;
    int goodRefused = 0;
    int badAnswered = 0;
    int badRefused = 0;
    MonotonicTime lastGoodAnswer;
    Nanoseconds longestGood {};
};

// Simulates a data centre with a fake clock: hosts that exchange strikes with a delay, engines
// that run several requests at once, and callers that repeat bad requests on all hosts.
class CrashFixture {
public:
    CrashFixture(std::uint64_t seed, std::size_t maxParallel)
        : m_random(seededRandom(seed))
        , m_quarantine({ maxParallel, settleTime })
        , m_strikes(hostCount)
        , m_claims(hostCount)
        , m_reserved(hostCount)
    {
        for (int i = 0; i < hostCount; ++i)
            m_hosts.emplace_back("host" + std::to_string(i));
        for (int i = 0; i < engineCount; ++i)
            m_engines.push_back({ EngineId("engine" + std::to_string(i)), 1, true, {} });
    }

    void sendGood(double perSecond, Nanoseconds length)
    {
        MonotonicTime at {};
        while (at.time_since_epoch() < length) {
            at += seconds(-std::log(1 - uniform(m_random)) / perSecond);
            const Fingerprint fingerprint { 1000 + uniformBelow(m_random, 1000000) };
            ++m_outcome.goodSent;
            send(fingerprint, at, static_cast<int>(uniformBelow(m_random, hostCount)));
        }
    }

    // Repeats the request on random hosts, and one time in four on all hosts at once.
    void sendBad(Fingerprint fingerprint, MonotonicTime from, Nanoseconds length)
    {
        for (MonotonicTime at = from; at < from + length;
             at += milliseconds(1 + uniformBelow(m_random, 400))) {
            if (uniformBelow(m_random, 4) != 0) {
                send(fingerprint, at, static_cast<int>(uniformBelow(m_random, hostCount)));
                continue;
            }
            for (int host = 0; host < hostCount; ++host)
                send(fingerprint, at, host);
        }
    }

    CrashOutcome run()
    {
        at(MonotonicTime {}, [this] { grantQuarantined(); });
        while (!m_events.empty() && m_now < MonotonicTime(2min)) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        return m_outcome;
    }

private:
    struct Event {
        MonotonicTime at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return at != other.at ? other.at < at : other.order < order;
        }
    };

    static Nanoseconds seconds(double time)
    {
        return std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(time));
    }

    static Nanoseconds milliseconds(std::uint64_t count) { return std::chrono::milliseconds(count); }

    void at(MonotonicTime instant, std::function<void()> action)
    {
        m_events.push({ instant, ++m_order, std::move(action) });
    }

    void after(Nanoseconds delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }

    void send(Fingerprint fingerprint, MonotonicTime instant, int host)
    {
        const Request request { RequestId(std::to_string(++m_requests)), fingerprint, host, instant };
        at(instant, [this, request] { dispatch(request); });
    }

    int claimOwnerIndex(Fingerprint fingerprint) const
    {
        const auto id = claimOwner(fingerprint, m_hosts);
        return static_cast<int>(std::find(m_hosts.begin(), m_hosts.end(), id) - m_hosts.begin());
    }

    void dispatch(const Request& request)
    {
        switch (m_strikes[static_cast<std::size_t>(request.host)].verdict(request.fingerprint, m_now)) {
        case StrikeVerdict::Refused:
            ++(request.bad() ? m_outcome.badRefused : m_outcome.goodRefused);
            return;
        case StrikeVerdict::Deciding:
            after(20ms, [this, request] { dispatch(request); });
            return;
        case StrikeVerdict::Suspect:
            after(1ms, [this, request] { enqueue(request); });
            return;
        case StrikeVerdict::Normal:
            break;
        }
        const auto proposed = proposeEngine(request);
        if (!proposed) {
            after(20ms, [this, request] { dispatch(request); });
            return;
        }
        after(1ms, [this, request, run = *proposed] { claim(request, run); });
    }

    std::optional<EngineInstance> proposeEngine(const Request& request)
    {
        std::vector<EngineInstance> open;
        const auto& reserved = m_reserved[static_cast<std::size_t>(request.host)];
        for (const auto& engine : m_engines) {
            if (engine.up && std::find(reserved.begin(), reserved.end(), engine.id) == reserved.end())
                open.push_back(engine.run());
        }
        if (open.empty())
            return std::nullopt;
        return open[uniformBelow(m_random, open.size())];
    }

    // Runs at the claim owner of the fingerprint.
    void claim(const Request& request, const EngineInstance& proposed)
    {
        const auto host = static_cast<std::size_t>(claimOwnerIndex(request.fingerprint));
        if (m_strikes[host].verdict(request.fingerprint, m_now) != StrikeVerdict::Normal) {
            // By then the strike has reached the host as well.
            after(30ms, [this, request] { dispatch(request); });
            return;
        }
        const auto run = m_claims[host].claim(request.fingerprint, proposed, m_now);
        after(1ms, [this, request, run] { start({ request, false }, run); });
    }

    void release(const Request& request, const EngineInstance& run)
    {
        const auto host = static_cast<std::size_t>(claimOwnerIndex(request.fingerprint));
        m_claims[host].release(request.fingerprint, run);
    }

    Engine& engine(const EngineId& id)
    {
        return *std::find_if(
            m_engines.begin(), m_engines.end(), [&](const Engine& engine) { return engine.id == id; });
    }

    void start(const Attempt& attempt, const EngineInstance& run)
    {
        auto& target = engine(run.engine);
        if (!target.up || target.run() != run) {
            // The request did not run, so its claim or grant is released.
            after(30ms, [this, attempt, run] {
                if (attempt.alone)
                    finishQuarantined(attempt.request);
                else
                    release(attempt.request, run);
                dispatch(attempt.request);
            });
            return;
        }
        target.running.push_back(attempt);
        if (attempt.request.bad())
            after(milliseconds(10 + uniformBelow(m_random, 190)),
                [this, attempt, run] { crash(attempt, run); });
        else
            after(milliseconds(50 + uniformBelow(m_random, 500)),
                [this, attempt, run] { finish(attempt, run); });
    }

    void finish(const Attempt& attempt, const EngineInstance& run)
    {
        auto& target = engine(run.engine);
        if (!target.up || target.run() != run)
            return;
        const auto place = std::find_if(target.running.begin(), target.running.end(),
            [&](const Attempt& other) { return other.request.id == attempt.request.id; });
        target.running.erase(place);
        ++m_outcome.goodAnswered;
        m_outcome.lastGoodAnswer = m_now;
        m_outcome.longestGood = std::max(m_outcome.longestGood, m_now - attempt.request.arrivedAt);
        const auto host = attempt.request.host;
        if (!attempt.alone) {
            release(attempt.request, run);
            return;
        }
        m_strikes[static_cast<std::size_t>(host)].onCompletedAlone(attempt.request.fingerprint, m_now);
        push(host);
        finishQuarantined(attempt.request);
    }

    void crash(const Attempt& attempt, const EngineInstance& run)
    {
        auto& target = engine(run.engine);
        if (!target.up || target.run() != run)
            return;
        ++m_outcome.enginesLost[attempt.request.fingerprint];
        const auto lost = std::move(target.running);
        target.running.clear();
        target.up = false;
        after(2s, [&target] {
            ++target.boot;
            target.up = true;
        });
        for (const auto& other : lost)
            after(milliseconds(1 + uniformBelow(m_random, 3)), [this, other, run] { strike(other, run); });
    }

    // Runs at the host whose attempt was lost.
    void strike(const Attempt& attempt, const EngineInstance& run)
    {
        const auto& request = attempt.request;
        auto& strikes = m_strikes[static_cast<std::size_t>(request.host)];
        if (attempt.alone)
            strikes.onCrashAlone(run, request.fingerprint, m_now);
        else
            strikes.onCrash(run, { request.fingerprint }, m_now);
        push(request.host);
        // The claim is released once its owner has the strike.
        after(30ms, [this, attempt, run] {
            if (attempt.alone)
                finishQuarantined(attempt.request);
            else
                release(attempt.request, run);
        });
        dispatch(request);
    }

    void push(int from)
    {
        const auto changes = m_strikes[static_cast<std::size_t>(from)].takeChanges();
        for (int host = 0; host < hostCount; ++host) {
            if (host == from)
                continue;
            after(milliseconds(1 + uniformBelow(m_random, 20)), [this, host, changes] {
                for (const auto& record : changes)
                    m_strikes[static_cast<std::size_t>(host)].merge(record, m_now);
            });
        }
    }

    void enqueue(const Request& request)
    {
        m_quarantine.enqueue({ m_hosts[static_cast<std::size_t>(request.host)], request.id,
            request.fingerprint, Deadline::never() });
        m_suspects[request.id] = request;
    }

    void finishQuarantined(const Request& request)
    {
        m_quarantine.finish(m_hosts[static_cast<std::size_t>(request.host)], request.id);
    }

    // Host 0 runs the quarantine scheduler.
    void reserveEngines()
    {
        std::vector<EngineId> up;
        for (const auto& engine : m_engines) {
            if (engine.up)
                up.push_back(engine.id);
        }
        if (!m_quarantine.reserveEngines(up, m_strikes[0].anySuspect(m_now), m_now))
            return;
        const auto reserved = m_quarantine.reservedEngines();
        for (std::size_t host = 0; host < hostCount; ++host)
            after(milliseconds(1 + uniformBelow(m_random, 20)),
                [this, host, reserved] { m_reserved[host] = reserved; });
    }

    void grantQuarantined()
    {
        reserveEngines();
        const auto verdict
            = [this](Fingerprint fingerprint) { return m_strikes[0].verdict(fingerprint, m_now); };
        std::vector<RequestId> refused;
        while (const auto granted = m_quarantine.grant(m_now, verdict))
            after(1ms, [this, request = m_suspects[granted->entry.request], id = granted->engine] {
                startAlone(request, id);
            });
        // Hosts refuse their own queued requests by verdict.
        for (const auto& [id, request] : m_suspects) {
            if (verdict(request.fingerprint) == StrikeVerdict::Refused)
                refused.push_back(id);
        }
        for (const auto& id : refused) {
            ++(m_suspects[id].bad() ? m_outcome.badRefused : m_outcome.goodRefused);
            m_suspects.erase(id);
        }
        after(5ms, [this] { grantQuarantined(); });
    }

    void startAlone(const Request& request, const EngineId& id)
    {
        const auto& target = engine(id);
        if (!target.up || target.running.empty()) {
            m_suspects.erase(request.id);
            start({ request, true }, target.run());
            return;
        }
        after(5ms, [this, request, id] { startAlone(request, id); });
    }

    RandomSource m_random;
    MonotonicTime m_now {};
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_requests = 0;
    QuarantineScheduler m_quarantine;
    std::vector<CrashStrikes> m_strikes;
    std::vector<FingerprintClaims> m_claims;
    std::vector<std::vector<EngineId>> m_reserved;
    std::vector<HostId> m_hosts;
    std::vector<Engine> m_engines;
    std::map<RequestId, Request> m_suspects;
    CrashOutcome m_outcome;
};

} // namespace

TEST_CASE(
    "Crashing requests, repeated on all hosts, crash at most two engines each and no good one is refused")
{
    const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 11)));
    const std::uint64_t badRequests = GENERATE(1, 3, 8);
    const std::size_t maxParallel = GENERATE(1, 3);
    CrashFixture fixture(seed, maxParallel);
    fixture.sendGood(60, 60s);
    for (std::uint64_t bad = 1; bad <= badRequests; ++bad)
        fixture.sendBad(Fingerprint(bad), MonotonicTime(5s), 30s);
    const auto outcome = fixture.run();
    CAPTURE(seed, badRequests, maxParallel);
    for (std::uint64_t bad = 1; bad <= badRequests; ++bad) {
        CAPTURE(bad);
        CHECK(outcome.enginesLost.count(Fingerprint(bad)) == 1);
        CHECK(outcome.enginesLost.at(Fingerprint(bad)) <= 2);
    }
    CHECK(outcome.badAnswered == 0);
    CHECK(outcome.badRefused > 0);
    CHECK(outcome.goodRefused == 0);
    CHECK(outcome.goodAnswered == outcome.goodSent);
}
