#pragma once

#include "Serving/DecodeTimes.h"
#include "Serving/DemandMeter.h"
#include "Serving/EngineSpeeds.h"
#include "Serving/Placement.h"
#include "Serving/RoleSplit.h"

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
    BackendTable m_table;
    EngineSpeeds m_speeds;
    DecodeTimes m_times;
    DemandMeter m_demand;
    std::unique_ptr<Placement> m_placement;
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
};

// Draws a fleet and a traffic mix by seed; the load keeps the given share of the engines busy.
SimulatedFleetSpec drawFleet(std::uint64_t seed, double utilisation);

} // namespace almondscale
