#pragma once

#include "Core/MonotonicTime.h"
#include "Core/Organisation.h"
#include "Core/Priority.h"

#include <map>
#include <optional>

namespace almondscale {

// Parameters of the shares of organisations. Work is in milliseconds of engines.
struct OrganisationSharesOptions {
    // Time constant of the demand of an organisation, and of the demand that its least share is derived from.
    // The latter is long, so that a burst of retries does not count as demand.
    Nanoseconds demandTime = std::chrono::seconds(2);
    Nanoseconds leastDemandTime = std::chrono::seconds(30);
    // Capacity is scarce for this long after onScarce().
    Nanoseconds scarceTime = std::chrono::seconds(5);
    // How often shares are computed, and the change of the capacity for each interval with and without
    // onScarce().
    Nanoseconds interval = std::chrono::milliseconds(200);
    double decrease = 0.93;
    // A decrease shows in the queues only after this time, before which there is no other.
    Nanoseconds decreaseInterval = std::chrono::seconds(1);
    double increase = 1.01;
    // Every organisation is served at least this much as often as all together. Above a quarter, which is
    // required, since shares follow the demand with a delay.
    double leastShare = 0.32;
    // Highest part of the capacity that an organisation gets on account of leastShare alone. Covers one with
    // half of the demand at twice the capacity, and limits one that retries without end.
    double maxLeastPart = 0.18;
    // While capacity is scarce, the demand that the least share is derived from counts with at most this
    // growth per second, because retries of refused requests look like demand.
    double leastGrowth = 0.05;
    // Unused work that an organisation may catch up on: as time at its share, and at least this many
    // requests, because a host gets the requests of a small organisation at irregular intervals.
    double minBurstRequests = 4;
    Nanoseconds burstTime = std::chrono::seconds(1);
};

// Decides whose requests are refused while capacity is scarce: each organisation gets its share of the work
// before any organisation gets more. Shares are equal, what one does not use goes to the others, and each
// priority has its own. All decisions are local: hosts see a part of the demand of each organisation and of
// the capacity, so that the shares hold for all hosts together without messages.
class OrganisationShares {
public:
    explicit OrganisationShares(OrganisationSharesOptions = {});

    // Whether the request may be served. Counts its work as demand and, if so, as served.
    bool admit(const Organisation&, Priority, double workMs, MonotonicTime now);
    // A request waits for more than half of the time that it may wait, or is not served for lack of capacity.
    void onScarce(Priority, MonotonicTime now);
    bool isScarce(Priority, MonotonicTime now) const;

private:
    // An exponential average per second.
    struct Rate {
        double perSecond = 0;
        MonotonicTime at {};
        MonotonicTime startedAt {};

        void add(double work, Nanoseconds timeConstant, MonotonicTime now);
        double value(Nanoseconds timeConstant, MonotonicTime now) const;
    };

    struct Member {
        Rate demand;
        Rate leastDemand;
        // Work that may be served now.
        double allowance = 0;
        MonotonicTime allowanceAt {};
        double sharePerSecond = 0;
        // The demand that the least share is derived from, and when it was computed.
        double leastClaim = 0;
        MonotonicTime claimedAt {};
    };

    struct Level {
        std::map<Organisation, Member> members;
        Rate served;
        double capacity = 0;
        // The highest share of an organisation with more demand.
        double shared = 0;
        std::optional<MonotonicTime> scarceAt;
        bool scarceInInterval = false;
        MonotonicTime decreasedAt {};
        MonotonicTime computedAt {};
    };

    void compute(Level&, MonotonicTime now) const;
    double leastClaim(Member&, MonotonicTime now) const;
    void shareOut(Level&, MonotonicTime now) const;
    bool isScarce(const Level&, MonotonicTime now) const;

    OrganisationSharesOptions m_options;
    std::map<Priority, Level> m_levels;
};

} // namespace almondscale
