#pragma once

#include "Core/MonotonicTime.h"
#include "Serving/PoolMix.h"
#include "Serving/PoolOrder.h"
#include "Serving/PoolOutlook.h"
#include "Serving/PoolView.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// Parameters of the size of a pool. Demand is in engines that would be busy all the time.
struct PoolSizerOptions {
    // Highest utilisation of the pool that is planned for. Low, because the demand is underestimated while
    // requests are refused or late, its average smooths short peaks, and the learned prefill time may lack a
    // fixed part. An additional spot server costs far less than late requests.
    double utilisation = 0.6;
    // The same without the spot servers of one data centre. New servers are ready a boot time later.
    double oneLostUtilisation = 0.75;
    // The same without those of two. Above 1: the service works, with a part of the requests refused.
    double twoLostUtilisation = 1.05;
    // Utilisation that a role may reach if a release takes engines of this role only.
    double roleUtilisation = 0.8;
    // Reserved servers, as a share of all and at least, for the time in which no spot servers are available.
    double reservedShare = 0.1;
    int minReserved = 4;
    // Demand is planned for at its maximum over this time, which covers two or more waves of about 10 s.
    Nanoseconds peakTime = std::chrono::seconds(25);
    // Interval over which the trend is measured, and its highest effect as a factor.
    Nanoseconds trendTime = std::chrono::seconds(4);
    double maxTrendFactor = 1.2;
    // Share of the needed servers that one data centre gets as long as the others have room, because a data
    // centre may be cut off. With few data centres, this multiple of an equal share.
    double maxDataCentreShare = 0.4;
    double maxShareFactor = 1.5;
    // Time from a decision until its order is sent, and until a new server's registration is known.
    Nanoseconds controlDelay = std::chrono::seconds(2);
    // Before any traffic, servers are released only if this share of the engines of each role that were found
    // stays, unless the role split did not provide them in this time.
    double idleRoleShare = 0.6;
    Nanoseconds idleRoleWait = std::chrono::seconds(15);
    // When traffic begins at a new system, prompts are prefilled that are found cached some seconds later, so
    // that only a share of the demand of this time is planned for.
    Nanoseconds warmUpTime = std::chrono::seconds(8);
    double warmUpShare = 0.5;
    // Servers are released only after demand has been observed for this long.
    Nanoseconds observationTime = std::chrono::seconds(10);
    // Servers are released only if they have been superfluous for this long, even for a demand that is higher
    // by this factor, so that noise of the demand causes no orders.
    Nanoseconds releaseDwell = std::chrono::seconds(4);
    double releaseMargin = 1.08;
    // Time between two releases under traffic: released servers report it within about 2 s, and the role
    // split needs a second or two more to follow.
    Nanoseconds releaseInterval = std::chrono::seconds(4);
    // Servers released at once, under traffic, and if other servers have been ordered in their place.
    int releaseStep = 2;
    int replaceStep = 8;
    // Servers are replaced by cheaper ones if this lowers the price at least to this share.
    double replacePriceShare = 0.85;
    // Released servers finish their requests, and their registrations are read with a delay.
    Nanoseconds releaseTime = std::chrono::seconds(8);
    // A refused kind is not ordered again for this long; after a reclaim, none are available for about 10 s.
    Nanoseconds refusalTime = std::chrono::seconds(2);
    Nanoseconds reclaimTime = std::chrono::seconds(9);
    // Servers that do not appear within this many boot times count as refused, for this long. The lower bound
    // covers the delay of registrations.
    int maxBootTimes = 3;
    Nanoseconds minStartTime = std::chrono::seconds(6);
    Nanoseconds absenceTime = std::chrono::seconds(20);
    // An order without an answer is repeated after this time, doubled up to the highest.
    Nanoseconds repeatTime = std::chrono::milliseconds(500);
    Nanoseconds maxRepeatTime = std::chrono::seconds(4);
};

// Why a pool order is given.
enum class PoolReason {
    // The pool is too small for the demand, or would be after a reclaim.
    Grow,
    // Cheaper servers are to take the place of others.
    Replace,
    // Servers are superfluous.
    Release,
    // The order before got no answer.
    Repeat,
};

const char* poolReasonName(PoolReason);

// An order to send.
struct PoolDecision {
    PoolOrder order;
    PoolReason reason = PoolReason::Grow;
    // The number of servers that the order replaces.
    int before = 0;
};

// How the platform answered an order.
enum class PoolAnswer {
    Accepted,
    // No such servers are available, or the order is not permitted.
    Refused,
    // Too many calls; the order had no effect.
    Deferred,
    // No answer: the order may take effect at any time.
    Unknown,
};

// Engines that would be busy all the time, by role.
struct PoolDemand {
    double prefillEngines = 0;
    double decodeEngines = 0;
};

// The figures behind the latest decision.
struct PoolFigures {
    PoolDemand demand;
    double utilisation = 0;
    // The demand has been observed long enough to release servers.
    bool demandKnown = false;
    PoolNeeds needs;
};

// Decides how many servers of each kind the service is to have in each data centre: the cheapest pool that
// carries the demand, also after the spot servers of any one data centre have been reclaimed. Responds to a
// service that has far more servers than its demand needs, to demand that grows, swings in waves of about 10
// s or comes in bursts of some seconds, and to reclaims. New servers are ordered at once, superfluous ones
// released in small steps.
class PoolSizer {
public:
    explicit PoolSizer(ServiceName, PoolSizerOptions = {});

    // The orders to give now. Each counts as given; onAnswer() must follow.
    std::vector<PoolDecision> decide(const PoolSpec&, const PoolView&, MonotonicTime now);
    void onAnswer(const PoolOrder&, PoolAnswer, MonotonicTime now);

    const PoolFigures& figures() const { return m_figures; }
    // The numbers of servers that were ordered or, without an order, are registered.
    PoolMix wanted() const;
    PoolMix registered() const;
    // Kinds that are not ordered for now, because they were refused or reclaimed.
    std::set<std::pair<DataCentre, bool>> unavailable(MonotonicTime now) const;
    PoolOutlook outlook() const;

private:
    // Whether the spot servers of some data centre were reclaimed or refused a short time ago.
    bool hasLostSpot(MonotonicTime now) const;

    struct Sample {
        MonotonicTime at {};
        double prefillEngines = 0;
        double decodeEngines = 0;
        // The same when servers that are ordered now would be ready.
        double plannedPrefill = 0;
        double plannedDecode = 0;
        double requests = 0;
    };

    // The servers of one kind in one data centre.
    struct Group {
        int ready = 0;
        int leaving = 0;
        int prefilling = 0;
        // The number of the last order; unset if there was none, or if it no longer describes the pool.
        std::optional<int> ordered;
        std::optional<int> orderedBefore;
        MonotonicTime orderedAt {};
        // As many servers as ordered have been registered.
        bool reached = false;
        // Since when fewer servers are registered than ordered.
        std::optional<MonotonicTime> missingSince;
        // Servers released by recent orders.
        int released = 0;
        MonotonicTime releasedAt {};
        MonotonicTime unavailableUntil {};
        bool inFlight = false;
        // Set if the last order got no answer: when to repeat it, and after which time again.
        std::optional<MonotonicTime> repeatAt;
        Nanoseconds repeatTime {};

        int current() const { return ordered.value_or(ready); }
        bool maySend() const { return !inFlight && !repeatAt; }
    };

    using Key = std::pair<DataCentre, bool>;

    void readServers(const PoolView&);
    // Corrects the belief about a group by what is registered.
    void reconcile(const Key&, Group&, const PoolSpec&, MonotonicTime now);
    void noteDemand(const PoolView&, MonotonicTime now);
    void noteTrend(const PoolSpec&, MonotonicTime now);
    // The highest of the recent demand.
    PoolDemand plannedDemand() const;
    double plannedUtilisation(const PoolView&) const;
    void noteFound(MonotonicTime now);
    PoolNeeds needs(
        const PoolSpec&, const PoolDemand&, double utilisation, double margin, MonotonicTime now) const;
    bool isObserved(MonotonicTime now) const;
    // The highest numbers that may be ordered now.
    PoolMix orderable(const PoolSpec&, MonotonicTime now) const;
    // The cheapest pool from the given one on.
    PoolMix grown(const PoolSpec&, const PoolNeeds&, const PoolMix& from, MonotonicTime now) const;
    // The pool with servers added that are to take the place of more expensive ones.
    PoolMix replacement(const PoolSpec&, const PoolNeeds&, MonotonicTime now) const;
    void noteLeavingGroups(const PoolSpec&, const PoolNeeds&);
    // Whether enough engines of each role stay if the platform releases this many servers of the group.
    bool keepsRoles(const Group&, int count, const PoolDemand&, MonotonicTime now) const;
    void order(std::vector<PoolDecision>&, const Key&, int servers, PoolReason, MonotonicTime now);
    void repeatOrders(std::vector<PoolDecision>&, MonotonicTime now);
    // Orders the numbers that are higher than before.
    void raise(std::vector<PoolDecision>&, const PoolMix&, PoolReason, MonotonicTime now);
    void release(
        std::vector<PoolDecision>&, const PoolSpec&, const PoolNeeds&, const PoolDemand&, MonotonicTime now);

    ServiceName m_service;
    PoolSizerOptions m_options;
    std::map<Key, Group> m_groups;
    std::deque<Sample> m_samples;
    // Since when there has been traffic.
    std::optional<MonotonicTime> m_trafficSince;
    MonotonicTime m_lastTrafficAt {};
    bool m_traffic = false;
    // Servers found in each data centre, and of each role, before the demand was known.
    std::map<DataCentre, int> m_found;
    int m_foundPrefill = 0;
    int m_foundDecode = 0;
    int m_surplus = 0;
    // The demand was known before a pause of the traffic, so that the pool has the size for it.
    bool m_wasObserved = false;
    // The first decision was made without traffic, so that the servers found are all there were.
    bool m_startedIdle = false;
    bool m_first = true;
    std::optional<MonotonicTime> m_superfluousSince;
    std::optional<MonotonicTime> m_lastReleaseAt;
    // Most servers of these are to be released.
    std::set<Key> m_leavingGroups;
    PoolFigures m_figures;
};

} // namespace almondscale
