#pragma once

#include "Authority/LeaseRunner.h"
#include "Authority/OrderRunner.h"
#include "ClosingBook.h"
#include "EngineDirectory.h"
#include "EngineOrderSender.h"
#include "Membership/MembershipService.h"
#include "PeriodicDuty.h"
#include "Platform/Table.h"
#include "Roles/RolePolicy.h"
#include "RulesHolder.h"
#include "Settings/HostSettings.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace almondscale {

// What a pool's authority uses of the host.
struct PoolAuthorityParts {
    const HostSettings& settings;
    Incarnation incarnation;
    Table table;
    RulesHolder& rules;
    EngineDirectory& engines;
    MembershipService& membership;
    ClosingBook& closings;
    Clock clock;
};

// An order that an operator asked for.
struct RequestedOrder {
    EngineId engine;
    OrderKind kind = OrderKind::Role;
    std::string value;
};

// Competes for the lease of one model in this data centre and, while it holds it, gives the orders that the
// role policy finds worth their cost.
class PoolAuthority {
public:
    PoolAuthority(const ModelName&, PoolAuthorityParts);
    ~PoolAuthority();
    PoolAuthority(const PoolAuthority&) = delete;
    PoolAuthority& operator=(const PoolAuthority&) = delete;

    void start();
    // Ends the order in hand and gives the lease up.
    void stop();
    // An order that an operator asks for; false if this host may not give it or already has one to give.
    bool order(const EngineId&, OrderKind, const std::string& value);
    // The lease as this host sees it, as JSON.
    std::string json() const;

private:
    void driveLease();
    void driveOrders();
    void decide(MonotonicTime now);
    void begin(const EngineId&, OrderKind, const std::string& value);
    std::vector<EngineStatus> engineStatuses() const;
    EngineOrderCallbacks port();
    std::vector<RoleRule> roleBounds() const;
    std::optional<RequestedOrder> takeRequested();

    ModelName m_model;
    PoolAuthorityParts m_parts;
    mutable std::mutex m_mutex;
    LeaseRunner m_lease;
    std::unique_ptr<RolePolicy> m_policy;
    EngineOrderSender m_sender;
    std::unique_ptr<OrderRunner> m_runner;
    EngineId m_ordered;
    std::string m_lastOrder = "none";
    // What an operator asked for and is still to be given.
    std::optional<RequestedOrder> m_requested;
    bool m_stopping = false;
    PeriodicDuty m_leaseDuty;
    PeriodicDuty m_orderDuty;
};

} // namespace almondscale
