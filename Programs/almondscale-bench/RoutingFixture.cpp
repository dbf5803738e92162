#include "RoutingFixture.h"

#include "Core/RandomSource.h"
#include "Routing/Router.h"
#include "RoutingEngine.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <queue>

namespace almondscale {

namespace {

    constexpr std::int64_t prefixTokens = 1500;

    // A host tries again to send what waits there.
    constexpr Nanoseconds pumpInterval = std::chrono::milliseconds(20);

    // The part of the cache events that is lost on the way.
    constexpr double lostEvents = 0.1;

    Nanoseconds nanoseconds(double seconds)
    {
        return std::chrono::duration_cast<Nanoseconds>(std::chrono::duration<double>(seconds));
    }

    // A request on its way through the experiment.
    struct Arrival {
        RoutingJob job;
        MonotonicTime at;
    };

    class RoutingRun {
    public:
        RoutingRun(
            const RoutingExperiment& experiment, const RoutePolicy& policy, const RouterOptions& options)
            : m_experiment(experiment)
            , m_random(seededRandom(experiment.seed))
            , m_waiting(static_cast<std::size_t>(experiment.hosts))
        {
            addEngines();
            for (int i = 0; i < experiment.hosts; ++i)
                m_routers.emplace_back(options, policy, seededRandom(experiment.seed * 1000 + 1 + i));
            for (auto& router : m_routers) {
                router.setEngines(m_views);
                router.setLivePeers(experiment.hosts - 1);
            }
        }

        RoutingFigures run()
        {
            addArrivals();
            report();
            pump();
            while (!m_events.empty()) {
                const Event event = m_events.top();
                m_events.pop();
                m_now = event.at;
                event.action();
            }
            return figures();
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

        void after(Nanoseconds delay, std::function<void()> action)
        {
            m_events.push({ m_now + delay, ++m_order, std::move(action) });
        }

        void addEngines()
        {
            for (int i = 0; i < m_experiment.engines; ++i) {
                EngineView view;
                view.id = EngineId("engine" + std::to_string(i));
                view.model = m_model;
                view.state = EngineAvailability::Open;
                m_views.push_back(view);
                RoutingEngineHooks hooks;
                hooks.after = [this](Nanoseconds delay, std::function<void()> action) {
                    after(delay, std::move(action));
                };
                hooks.firstToken = [this, id = view.id](const RoutingJob& job) {
                    m_routers[job.host].onFirstToken(job.attempt, id, m_now);
                    m_firstTokens.push_back(m_now - m_sent[job.attempt]);
                };
                hooks.finished = [this, id = view.id](const RoutingJob& job) {
                    m_routers[job.host].onFinished(job.attempt, id, m_now);
                    m_inTime += m_now <= m_sent[job.attempt] + m_experiment.deadline ? 1 : 0;
                    send(job.host);
                };
                m_engines.push_back(std::make_unique<RoutingEngine>(view.speed, hooks));
            }
        }

        void addArrivals()
        {
            MonotonicTime at {};
            while (at.time_since_epoch() < m_experiment.length) {
                at += nanoseconds(-std::log(1 - uniform(m_random)) / m_experiment.requestsPerSecond);
                Arrival arrival;
                arrival.at = at;
                auto& job = arrival.job;
                job.attempt = AttemptId(std::to_string(++m_count));
                job.host = uniformBelow(m_random, m_waiting.size());
                // Some prefixes are asked for much more often than others.
                const double skewed = std::pow(uniform(m_random), 2) * m_experiment.prefixes;
                const bool hot = uniform(m_random) < m_experiment.hotShare;
                job.prefix = PrefixHash(hot ? 1 : 1 + static_cast<std::uint64_t>(skewed));
                job.prefixTokens = TokenCount(prefixTokens);
                job.promptTokens
                    = TokenCount(prefixTokens + 100 + static_cast<std::int64_t>(uniformBelow(m_random, 900)));
                job.outputTokens = TokenCount(2 + static_cast<std::int64_t>(uniformBelow(m_random, 28)));
                m_sent[job.attempt] = at;
                after(at - m_now, [this, arrival] {
                    m_waiting[arrival.job.host].push_back(arrival);
                    send(arrival.job.host);
                });
            }
        }

        bool over() const { return m_now.time_since_epoch() > m_experiment.length + m_experiment.deadline; }

        void report()
        {
            for (std::size_t i = 0; i < m_engines.size(); ++i) {
                const auto load = m_engines[i]->load(m_now);
                auto events = m_engines[i]->takeEvents();
                std::vector<CacheEvent> arriving;
                for (const auto& event : events) {
                    if (uniform(m_random) >= lostEvents)
                        arriving.push_back(event);
                }
                const std::uint64_t next = events.empty() ? 0 : events.back().sequence + 1;
                after(m_experiment.reportLag, [this, i, load, arriving, next] {
                    for (auto& router : m_routers) {
                        router.onLoadReport(m_views[i].id, load);
                        if (next > 0)
                            router.onCacheEvents(m_views[i].id, arriving, next, m_now);
                    }
                });
            }
            if (!over())
                after(m_experiment.reportInterval, [this] { report(); });
        }

        void pump()
        {
            for (std::size_t host = 0; host < m_waiting.size(); ++host)
                send(host);
            if (!over())
                after(pumpInterval, [this] { pump(); });
        }

        void send(std::size_t host)
        {
            // A request that has to wait for its engines does not hold up the others.
            auto waiting = std::move(m_waiting[host]);
            m_waiting[host].clear();
            for (const auto& arrival : waiting) {
                if (!sendOne(host, arrival))
                    m_waiting[host].push_back(arrival);
            }
        }

        // Returns whether the request was sent or given up.
        bool sendOne(std::size_t host, const Arrival& arrival)
        {
            const auto& job = arrival.job;
            RouteRequest request;
            request.model = m_model;
            request.promptTokens = job.promptTokens;
            request.outputTokens = job.outputTokens;
            request.prefix = job.prefix;
            request.prefixTokens = job.prefixTokens;
            request.deadline = Deadline::after(arrival.at, m_experiment.deadline);
            const auto choice = m_routers[host].choose(request, m_now);
            if (choice.kind() == ErrorKind::QueueFull && !request.deadline.passed(m_now))
                return false;
            if (choice)
                submit(job, choice.value());
            return true;
        }

        void submit(const RoutingJob& job, const RouteChoice& choice)
        {
            m_routers[job.host].onSent(
                job.attempt, choice.prefill, choice.prefillTokens, job.outputTokens, job.prefix, m_now);
            for (std::size_t i = 0; i < m_views.size(); ++i) {
                if (m_views[i].id == choice.prefill)
                    m_engines[i]->submit(job);
            }
        }

        RoutingFigures figures()
        {
            RoutingFigures figures;
            figures.sent = m_count;
            figures.inTime = m_inTime;
            std::sort(m_firstTokens.begin(), m_firstTokens.end());
            const auto count = m_firstTokens.size();
            if (count == 0)
                return figures;
            figures.firstTokenMedian = m_firstTokens[count / 2];
            figures.firstTokenP99 = m_firstTokens[count * 99 / 100];
            std::int64_t tokens = 0;
            for (const auto& engine : m_engines)
                tokens += engine->prefillTokens();
            figures.prefillPerRequest = static_cast<double>(tokens) / static_cast<double>(count);
            return figures;
        }

        RoutingExperiment m_experiment;
        RandomSource m_random;
        ModelName m_model { "model" };
        MonotonicTime m_now {};
        std::priority_queue<Event> m_events;
        std::uint64_t m_order = 0;
        std::vector<EngineView> m_views;
        std::vector<std::unique_ptr<RoutingEngine>> m_engines;
        std::vector<Router> m_routers;
        std::vector<std::deque<Arrival>> m_waiting;
        std::map<AttemptId, MonotonicTime> m_sent;
        std::vector<Nanoseconds> m_firstTokens;
        int m_count = 0;
        int m_inTime = 0;
    };

} // namespace

RoutingFigures runRouting(
    const RoutingExperiment& experiment, const RoutePolicy& policy, const RouterOptions& options)
{
    return RoutingRun(experiment, policy, options).run();
}

} // namespace almondscale
