#pragma once

#include "Core/BoundedQueue.h"
#include "Core/HostId.h"
#include "Platform/Table.h"
#include "Rules/RulesReplica.h"
#include "Rules/RulesStore.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace almondscale {

// What the duty asks of the rest of the host.
struct RulesDutyHooks {
    // The rules that a peer has in force; blocks for a short while.
    std::function<std::optional<RulesChange>(const HostId&)> pullFromPeer;
    std::function<DataCentreRank()> peers;
    std::function<void(const std::shared_ptr<const RuleSet>&)> adopted;
};

// Runs the keeper of the rules: one thread decides, one waits for the platform and the peers.
class RulesDuty {
public:
    RulesDuty(Table, RulesDutyHooks);
    ~RulesDuty();
    RulesDuty(const RulesDuty&) = delete;
    RulesDuty& operator=(const RulesDuty&) = delete;

    void start();
    void stop();
    void onPeerVersion(const HostId&, RulesVersion);
    void onPeerGone(const HostId&);
    // Looks at the platform now, after this host has applied a change itself.
    void refresh();
    std::optional<RulesChange> change() const;
    RulesVersion version() const;

private:
    using Job = std::function<void()>;

    void readPlatform(RulesVersion known);
    void pull(const HostId&);

    RulesStore m_store;
    RulesDutyHooks m_hooks;
    mutable std::mutex m_mutex;
    std::unique_ptr<RulesReplica> m_keeper;
    BoundedQueue<Job> m_jobs;
    std::atomic<bool> m_running { false };
    std::thread m_decider;
    std::thread m_waiter;
};

} // namespace almondscale
