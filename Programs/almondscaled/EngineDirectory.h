#pragma once

#include "Core/OrderNumber.h"
#include "ModelPool.h"
#include "Routing/EngineView.h"
#include "Rules/RuleSet.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace almondscale {

// What this host last heard from one engine.
struct EngineRecord {
    EngineView view;
    bool checksFencing = false;
    bool reachable = false;
    bool closing = false;
    bool leaving = false;
    // Kept free for requests under suspicion.
    bool reserved = false;
    int failedPolls = 0;
    std::uint64_t boot = 0;
    LoadReport load;
};

// All engines of the rules and the pools that use them; safe for use by many threads.
class EngineDirectory {
public:
    EngineDirectory(const RouterOptions&, const AdmissionOptions&);

    void setRules(const RuleSet&);
    void onReport(const EngineId&, const LoadReport&, EngineRole);
    void onPollFailed(const EngineId&);
    // The engine's address refuses connections: it gets no new work until it reports again.
    void onRefused(const EngineId&);
    // Replaces the set of engines that an order is being prepared for.
    void setClosing(const std::set<EngineId>&);
    // Replaces the set of engines that are being withdrawn.
    void setLeaving(const std::set<EngineId>&);
    // Replaces the set of engines that are kept free for requests under suspicion.
    void setReserved(const std::set<EngineId>&);
    void setLivePeers(int);

    // The pool of a model, or nothing if no rule names it.
    std::shared_ptr<ModelPool> pool(const ModelName&) const;
    std::vector<std::shared_ptr<ModelPool>> pools() const;
    std::vector<EngineRecord> engines() const;
    std::optional<EngineRecord> engine(const EngineId&) const;

private:
    void replace(std::set<EngineId>& set, const std::set<EngineId>& by);
    void publish();
    static EngineAvailability availabilityOf(const EngineRecord&);

    RouterOptions m_routing;
    AdmissionOptions m_admission;
    mutable std::mutex m_mutex;
    std::map<EngineId, EngineRecord> m_engines;
    std::map<ModelName, std::shared_ptr<ModelPool>> m_pools;
    std::set<EngineId> m_closing;
    std::set<EngineId> m_leaving;
    std::set<EngineId> m_reserved;
};

} // namespace almondscale
