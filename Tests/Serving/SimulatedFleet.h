#pragma once

#include "Serving/DecodePace.h"
#include "Serving/DecodeTimes.h"
#include "Serving/DemandMeter.h"
#include "Serving/EngineSpeeds.h"
#include "Serving/Placement.h"
#include "Serving/RoleSplit.h"
#include "Serving/ServerSpeeds.h"

#include "Core/Milliseconds.h"
#include "Core/RandomSource.h"
#include "ServingFixtures.h"

#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace almondscale {

// A type of request in a simulated fleet.
struct RequestType {
    double perSecond = 0;
    std::int64_t uniqueTokens = 0;
    std::int64_t prefixTokens = 0;
    std::uint64_t prefixes = 0;
    double events = 0;
    double targetMs = 0;
};

// How the hosts of a simulated fleet choose engines.
enum class SimulatedPolicy { Placement, RoundRobin, FewestWaiting };

// A fleet of engines with their actual times, which are hidden from the policy.
struct SimulatedFleetSpec {
    int engines = 0;
    int slots = 0;
    double baseMs = 0;
    double msPerToken = 0;
    double msPerMillionPairs = 0;
    double eventMs = 0;
    double transferMsPerToken = 0;
    std::int64_t memoryTokens = 0;
    std::vector<RequestType> types;
    // Used in the second half of the simulation.
    std::vector<RequestType> laterTypes;
    // How much longer engines take, in turn; empty if all are alike.
    std::vector<double> factors;
    // Each engine is slowed down by this factor for slowDownMs, at random times at this rate.
    double slowDownFactor = 2.5;
    double slowDownMs = 600;
    double slowDownsPerSecond = 0;
    // Hosts that know the load of the others late by up to 200 ms, and their samples of speeds by seconds.
    int hosts = 1;
    SimulatedPolicy policy = SimulatedPolicy::Placement;
    // Only with several hosts.
    bool learnsFactors = true;
};

// Simulates a load on a fleet whose engines follow a time model of their own. Prefill engines process prompts
// sequentially; decode engines have slots and a queue.
class SimulatedFleet {
public:
    SimulatedFleet(const SimulatedFleetSpec& spec, std::uint64_t seed);

    // The share of requests whose first event is in time. The number of decode engines is fixed if given, and
    // decided by RoleSplit otherwise.
    double simulate(std::optional<int> fixedDecode);

    int orders() const { return m_orders; }
    // The share of the requests of a type whose first event was in time.
    double inTime(std::size_t type) const;
    // The maximum number of prefills outstanding at one engine.
    int longestQueue() const { return m_longestQueue; }

private:
    struct Engine {
        BackendId id;
        EngineRole role = EngineRole::Decode;
        // When the engine's prefills are done, and the prefixes that it caches.
        double freeAtMs = 0;
        std::list<std::uint64_t> cachedPrefixes;
        std::int64_t kept = 0;
        int running = 0;
        // Total time for which the engine's streams were stalled, in milliseconds.
        double stalledMs = 0;
        // Streams waiting for a slot: ordinary ones, then deferred ones.
        std::array<std::deque<std::function<void()>>, 2> waiting;
        double factor = 1;
        // When slow-downs begin, in order.
        std::vector<double> slowDownsMs;
        int openPrefills = 0;
        // Outstanding prefills as the hosts know them, and as they will after the next report.
        int reportedPrefills = 0;
        int countedPrefills = 0;
    };

    // What one host knows.
    struct HostView {
        BackendTable table;
        ServerSpeeds factors;
        DecodePace pace;
        std::unique_ptr<Placement> placement;
        std::size_t turn = 0;
    };

    struct Count {
        int requested = 0;
        int inTime = 0;
    };

    struct Job;

    double nowMs() const { return m_nowMs; }
    MonotonicTime now() const { return testStart + fromMs(m_nowMs); }
    void at(double ms, std::function<void()> action);
    void arrive(std::size_t type);
    void sendOn(const std::shared_ptr<Job>& job, const PlacementChoice& choice, bool direct);
    void endStream(const std::shared_ptr<Job>& job, Engine& engine, double firstMs, double stalledMs);
    Deadline targetTime(const Job& job) const;
    void decodeAt(const std::shared_ptr<Job>& job, const PlacementChoice& choice, double beforeFirstMs);
    // When work that takes so long on an engine of factor 1 is done.
    double workEnd(const Engine&, double beginMs, double nominalMs) const;
    std::optional<PlacementChoice> choose(HostView&, EngineRole, const Job&,
        const std::function<std::optional<PlacementChoice>()>& byPlacement);
    void exchangeLoads(std::vector<BackendTable::Loads> snapshot);
    void exchangeSpeeds(std::vector<ServerSpeeds::Sums> snapshot);
    void decideSplit();
    void changeRole(const RoleAssignment& order, bool atOnce);
    void setRole(Engine& engine, EngineRole role);
    double cachedWorkMs(const PromptShape& prompt) const;
    double readMs(Engine& engine, const PromptShape& prompt);
    Engine& engine(const BackendId& id) { return *m_byId.at(id); }
    const std::vector<RequestType>& types() const;

    SimulatedFleetSpec m_spec;
    RandomSource m_random;
    std::vector<Engine> m_engines;
    std::map<BackendId, Engine*> m_byId;
    std::vector<std::unique_ptr<HostView>> m_hosts;
    // Of the first host.
    BackendTable& m_table;
    std::set<SentPrefix> m_sentPrefixes;
    EngineSpeeds m_speeds;
    DecodeTimes m_times;
    DemandMeter m_demand;
    RoleSplit m_split { m_table };
    EngineSpec m_engineSpec;
    using Event = std::pair<double, std::function<void()>>;
    struct Later {
        bool operator()(const Event& a, const Event& b) const { return a.first > b.first; }
    };
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
    double m_nowMs = 0;
    std::uint64_t m_ownKey = 1'000'000;
    int m_asked = 0;
    int m_inTime = 0;
    int m_orders = 0;
    int m_longestQueue = 0;
    std::map<std::size_t, Count> m_counts;
};

// Draws a fleet and a traffic mix by seed; the load keeps the given share of the engines busy.
SimulatedFleetSpec drawFleet(std::uint64_t seed, double utilisation);

} // namespace almondscale
