#pragma once

#include "Core/EngineRole.h"
#include "Serving/BackendTable.h"
#include "Serving/EngineDemand.h"
#include "Serving/PoolOutlook.h"

#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// Parameters of the split of a service's engines between prefill and decode.
struct RoleSplitOptions {
    // Decode engines per prefill engine while no demand is known: the odds divided by a power of the slots of
    // an engine. Engines with fewer slots need more spare capacity.
    double defaultDecodeOdds = 3.4;
    double defaultOddsExponent = 0.6;
    // Time constant of the demand average. It prevents role changes for a peak that is over by the time the
    // engine is available again.
    Nanoseconds demandTimeConstant = std::chrono::seconds(1);
    // Engines change their role for the demand if the busier role is above this utilisation and the change
    // lowers it by at least minUtilisationGain, as a share.
    double rebalanceUtilisation = 0.5;
    // Utilisation above which a decode engine is turned into a prefill engine. Higher than the other bound
    // because a prompt can wait for prefill, whereas a missing decode slot wastes the prefill too, and
    // because prefixes that are computed for the first time look like a peak.
    double rebalancePrefillUtilisation = 0.65;
    double minUtilisationGain = 0.12;
    // With this many prefill engines, a surplus of decode engines is left alone while the demand keeps less
    // than this share of the prefill engines busy, because a role change has a cost and would help nobody.
    // Fleets sized for their demand show 10 % or more from prompts with cached prefixes alone.
    int largePrefillFleet = 60;
    double minPrefillUtilisation = 0.03;
    // With largePrefillFleet prefill engines, this share of all engines may change their role concurrently
    // under traffic; with fewer, one engine.
    double maxConcurrentShare = 0.1;
    // A shortage of decode engines must last this long before an order, so that an engine that restarts is
    // not replaced.
    Nanoseconds shortageDwell = std::chrono::milliseconds(1500);
    // The same for a surplus, which costs less. Surpluses of some seconds are common while servers are
    // replaced.
    Nanoseconds surplusDwell = std::chrono::seconds(3);
    // A shortage that turns into a surplus or back twice within this time shows a mix that alternates about
    // as fast as an engine changes its role. Then either must last for alternatingDwell, which is longer than
    // the half of such an alternation.
    Nanoseconds alternationTime = std::chrono::seconds(5);
    Nanoseconds alternatingDwell = std::chrono::milliseconds(4500);
    // Engines whose registration expired are still counted for this long, because most reappear.
    Nanoseconds registrationLapseTime = std::chrono::seconds(12);
    // After an order, no further decode engine is turned for this long, except before any traffic.
    Nanoseconds orderCooldown = std::chrono::seconds(5);
    // At a shortage of this many decode engines, half of the missing ones are ordered concurrently. A surplus
    // is reduced one by one, because hosts go on sending to a decode engine until they learn of its role
    // change.
    int largeShortage = 3;
    // With surplus engines in an ordered pool, an engine keeps a new role at least for this long.
    Nanoseconds roleHoldTime = std::chrono::seconds(10);
    // While ordered engines are starting, roles change only above this utilisation.
    double startingUtilisation = 0.9;
    // An order without effect is abandoned after this time.
    Nanoseconds orderTimeout = std::chrono::seconds(9);
};

// An engine with the role it is to change to.
struct RoleAssignment {
    BackendId engine;
    EngineRole role = EngineRole::Decode;
};

// Engines of each role that are missing because limits named by the servers leave them partly unused, or
// because they are slower than the typical engine; negative if they are faster.
struct LimitedCapacity {
    double prefill = 0;
    double decode = 0;
};

// Decides how many engines of each service prefill and how many decode, and which engine changes its role
// next. Covers fleets that start with too few prefill engines for their prompts, fleets far larger than their
// demand, and engines that return with another role than before.
class RoleSplit {
public:
    explicit RoleSplit(const BackendTable&, RoleSplitOptions = {});

    // The orders to give now.
    std::vector<RoleAssignment> decide(const ServiceName&, const EngineDemand&, MonotonicTime now);
    // An order was sent, whether or not it succeeded.
    void onOrdered(const RoleAssignment&, MonotonicTime now);
    // The engine refused the order.
    void onRefused(const BackendId&);

    // What is about to change in the pool of the service; without it, all registered engines stay. Roles are
    // shared between the engines that stay, and do not change while ordered engines are starting, unless the
    // engines of a role are nearly all busy. Surplus engines change their role at once and without a
    // shortage, so that the pool can shrink. Decode engines are spread over the data centres, reserved ones
    // first, because a reclaim takes all spot servers of a data centre and a stream cannot move as easily as
    // a prefill.
    void setOutlook(const ServiceName&, const std::optional<PoolOutlook>&);

    // The target number of decode engines, given the number of engines, the slots of each and the number that
    // decode now.
    int decodeTarget(int engines, double slots, const EngineDemand&, int decoding,
        const LimitedCapacity& missing = {}) const;

private:
    struct Order {
        EngineRole role = EngineRole::Decode;
        MonotonicTime at {};
    };

    // An exponential moving average as weighted sum and weight.
    struct Average {
        EngineDemand sum;
        double weight = 0;
        MonotonicTime at {};
    };

    // Changes between a shortage and a surplus of decode engines.
    struct Turns {
        int sign = 0;
        MonotonicTime at {};
        MonotonicTime alternatingUntil {};
    };

    // The recent maximum of a service's engines.
    struct Peak {
        int engines = 0;
        MonotonicTime at {};
    };

    // The target number of decode engines while no demand is known.
    int defaultTarget(int engines, double slots) const;
    // Adds the demand to the average and returns the average.
    EngineDemand averageDemand(const ServiceName&, const EngineDemand&, MonotonicTime now);
    // Missing decode engines; negative for a surplus.
    int decodeShortage(const ServiceName&, const EngineDemand&, int engines, double slots, int decoding,
        const LimitedCapacity& missing, MonotonicTime now);
    // Whether the mix alternates too fast for a role change.
    bool isAlternating(const ServiceName&, int shortage, MonotonicTime now);
    // The number of engines of this role that are missing because of their limits and their speed.
    double missingCapacity(
        const std::vector<const Backend*>&, EngineRole, const EngineDemand&, double slots) const;
    bool isPrefillIdle(int prefilling, const EngineDemand&) const;
    // The number of decode engines at which both roles are equally busy, or the present one if that is hardly
    // worse.
    int balancedTarget(int engines, double slots, const EngineDemand&, int decoding) const;
    // The engine of an ordered pool to change to the role, and its removal from the list.
    const Backend* takeFromPool(
        std::vector<const Backend*>& from, std::map<DataCentre, int>& decoding, EngineRole) const;
    // Whether the engine stays, as far as the pool's outlook tells.
    bool stays(const Backend&) const;
    // Whether role changes wait for engines that are starting.
    bool awaitsEngines(
        const ServiceName&, const EngineDemand&, int prefilling, int decoding, double slots) const;
    // The number of engines that may change their role concurrently under traffic.
    int maxConcurrentChanges(int engines, int prefilling) const;

    const BackendTable& m_backends;
    RoleSplitOptions m_options;
    std::map<BackendId, Order> m_orders;
    std::map<ServiceName, Peak> m_peaks;
    std::map<ServiceName, Turns> m_turns;
    std::map<ServiceName, Average> m_averages;
    std::map<ServiceName, PoolOutlook> m_outlooks;
    // Since when each service has had a shortage or a surplus of decode engines.
    std::map<ServiceName, MonotonicTime> m_shortageSince;
    std::map<ServiceName, MonotonicTime> m_surplusSince;
    // When engines were last ordered to change their role; kept for roleHoldTime.
    std::map<BackendId, MonotonicTime> m_orderedAt;
    MonotonicTime m_lastOrderAt {};
};

} // namespace almondscale
