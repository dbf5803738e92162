#pragma once

#include "Serving/PoolSizer.h"
#include "Serving/RoleSplit.h"
#include "ServingFixtures.h"

#include <functional>
#include <random>

namespace almondscale {

// Engines that are busy, by role, at a time in seconds from the start.
using SimulatedDemand = std::function<PoolDemand(double seconds)>;

// The platform's pool of one service under a fake clock: servers boot, drain, change roles and are reclaimed,
// and spot servers may be unavailable. PoolSizer and RoleSplit see registrations with a delay and a smoothed
// demand.
class SimulatedPool {
public:
    // Four data centres with 15 reserved engines each, a third of them for decode.
    SimulatedPool(std::uint64_t seed, SimulatedDemand);

    void run(double untilSeconds);
    // The spot servers of the data centre leave. Until then, none are available there, or in any data centre.
    void reclaim(const std::string& dataCentre, double unavailableUntil, bool everywhere);
    // All servers of the data centre vanish without a notice.
    void cutOff(const std::string& dataCentre);
    // A later holder of the lease knows nothing but the registrations.
    void changeHolder() { sizer.emplace(model); }
    int count(const std::string& dataCentre, bool spot) const;
    int total() const;
    // The demand of the last steps.
    PoolDemand demand() const { return m_demand(m_seconds); }
    int ready(EngineRole) const;
    double seconds() const { return m_seconds; }

    PoolSpec spec;
    std::optional<PoolSizer> sizer;
    // Answers of the platform are lost while set; the orders take effect all the same.
    bool losesAnswers = false;
    // Servers that were ordered never start.
    bool startsNone = false;
    // Decides instead of PoolSizer, every 5 s.
    std::function<std::vector<PoolOrder>(SimulatedPool&)> rule;

    double cost = 0;
    // Busy engines that found no engine of their role, integrated over time.
    double missingEngineSeconds = 0;
    double worstMissing = 0;
    // The lowest numbers of ready engines.
    int fewestReady = 1000;
    int fewestOfRole = 1000;
    int orders = 0;
    int refusals = 0;
    // Role orders under traffic for engines that had another such order less than 10 s before.
    int reversals = 0;
    int roleOrders = 0;
    std::vector<PoolDecision> decisions;

private:
    struct Server {
        BackendRecord record;
        double readyAt = 0;
        // Unset unless it drains.
        std::optional<double> leavesAt;
        std::optional<EngineRole> nextRole;
        double roleAt = 0;
        double lastOrderAt = -100;
        std::optional<BackendRecord> published;
    };

    void add(const std::string& dataCentre, bool spot, EngineRole, double readyAt);
    bool apply(const PoolOrder&);
    void advance();
    void decidePool();
    void decideRoles();
    void publish();
    EngineDemand smoothedDemand() const;

    std::mt19937_64 m_random;
    SimulatedDemand m_demand;
    std::map<BackendId, Server> m_servers;
    std::map<std::pair<std::string, bool>, double> m_unavailableUntil;
    BackendTable m_table;
    RoleSplit m_split;
    double m_seconds = 0;
    int m_step = 0;
    int m_nextId = 0;
    PoolDemand m_smoothed;
    double m_smoothedWeight = 0;
};

} // namespace almondscale
