#pragma once

#include "Core/EngineRole.h"
#include "Serving/BackendTable.h"
#include "Serving/EngineDemand.h"

#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// Bounds of the split of a service's engines between prefill and decode.
struct RoleSplitOptions {
    // Engines that decode for each one that prefills, while no demand is known: this divided
    // by a power of the places of an engine. The fewer these are, the more have to be spare.
    double defaultDecodeOdds = 3.4;
    double defaultOddsExponent = 0.6;
    // Demand is averageDemand over about this time, so that no engine turns for a crowd that is
    // over by the time it is back.
    Nanoseconds demandTimeConstant = std::chrono::seconds(1);
    // An engine changes for the demand where the busier role is above this part of its time,
    // and this part less busy afterwards.
    double rebalanceUtilisation = 0.5;
    // A decode engine is given up later than that: prompts wait for their turn, but a place that
    // is missing loses the prefill, too. Parts that are read for the first time look like a crowd.
    double rebalancePrefillUtilisation = 0.65;
    double minUtilisationGain = 0.12;
    // With so many engines that prefill, a surplus of decode engines is left as it is while
    // demand keeps less than this part of them busy: each order costs, and would serve nobody.
    // Fleets that are fit for their demand show a tenth and more, by its cached parts alone.
    int largePrefillFleet = 60;
    double minPrefillUtilisation = 0.03;
    // Of so many engines that prefill, this part of all engines may change at a time under
    // traffic, and one of fewer.
    double maxConcurrentShare = 0.1;
    // A lack of decode engines has to last this long before it is worth an order, so
    // that an engine that restarts is not replaced.
    Nanoseconds shortageDwell = std::chrono::milliseconds(1500);
    // The same for a surplus, which costs less: while servers are replaced there are
    // often more of them for some seconds.
    Nanoseconds surplusDwell = std::chrono::seconds(3);
    // Engines whose registrations lapsed are still counted for this long: most come back.
    Nanoseconds registrationLapseTime = std::chrono::seconds(12);
    // Time after an order in which no further decode engine is turned, but before any traffic.
    Nanoseconds orderCooldown = std::chrono::seconds(5);
    // With so many decode engines too few for the demand, half of them change at a time. Hosts
    // go on sending to an engine that was turned until they hear of it, so a surplus is given
    // up one by one.
    int largeShortage = 3;
    // An order without effect is given up after this.
    Nanoseconds orderTimeout = std::chrono::seconds(9);
};

// One engine that is to change its role.
struct RoleAssignment {
    BackendId engine;
    EngineRole role = EngineRole::Decode;
};

// Decides how many engines of each service prefill and how many decode, and which
// engine changes next. It answers a fleet that starts with too few prefill engines
// for its prompts, one that is far larger than its demand, and engines that come back
// with another role than they had.
class RoleSplit {
public:
    explicit RoleSplit(const BackendTable&, RoleSplitOptions = {});

    // The orders to give now.
    std::vector<RoleAssignment> decide(const ServiceName&, const EngineDemand&, MonotonicTime now);
    // An order was sent, whatever came of it.
    void onOrdered(const RoleAssignment&, MonotonicTime now);
    // The engine refused it.
    void onRefused(const BackendId&);

    // Engines that should decode out of so many with so many places each, of which some do now.
    int decodeTarget(int engines, double slots, const EngineDemand&, int decoding) const;

private:
    struct Order {
        EngineRole role = EngineRole::Decode;
        MonotonicTime at {};
    };

    // A mean that forgets: the weighted sum and its weight.
    struct Average {
        EngineDemand sum;
        double weight = 0;
        MonotonicTime at {};
    };

    // The most engines that a service had of late.
    struct Peak {
        int engines = 0;
        MonotonicTime at {};
    };

    // Engines that should decode while no demand is known.
    int defaultTarget(int engines, double slots) const;
    // The average demand of late.
    EngineDemand averageDemand(const ServiceName&, const EngineDemand&, MonotonicTime now);
    // Decode engines too few, or too many if below 0.
    int decodeShortage(
        const ServiceName&, const EngineDemand&, int engines, double slots, int decoding, MonotonicTime now);
    bool isPrefillIdle(int prefilling, const EngineDemand&) const;
    // Engines that may change at a time under traffic.
    int maxConcurrentChanges(int engines, int prefilling) const;

    const BackendTable& m_backends;
    RoleSplitOptions m_options;
    std::map<BackendId, Order> m_orders;
    std::map<ServiceName, Peak> m_peaks;
    std::map<ServiceName, Average> m_averages;
    // Since when each service has had too few decode engines, or too many.
    std::map<ServiceName, MonotonicTime> m_shortageSince;
    std::map<ServiceName, MonotonicTime> m_surplusSince;
    MonotonicTime m_lastOrderAt {};
};

} // namespace almondscale
