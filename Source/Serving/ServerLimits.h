#pragma once

#include "Core/Deadline.h"
#include "Core/RandomSource.h"
#include "Serving/FleetTraffic.h"
#include "Serving/LimitStatement.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace almondscale {

// What happened to a server's limit.
enum class LimitEvent {
    Named,
    Changed,
    Ended,
    // This host holds back requests because of the limit, for the first time in some seconds.
    Binds,
};

const char* limitEventName(LimitEvent);

// Keeps the limits of servers, which hold for all hosts together, without a coordinator. Each host sends at a
// share of the limit that is proportional to the requests of its callers. The hosts exchange their request
// rates and the numbers of requests that they sent, so that what is over the limit by chance is held back
// afterwards. The part of the limit that belongs to hosts which cannot be heard is left to them.
class ServerLimits {
public:
    explicit ServerLimits(RandomSource);

    // A response named the limit, or none. The request was sent at `sentAt`: the response to a request that
    // was already under way when the limit was named does not end it. Returns whether other hosts should be
    // told at once.
    bool noteResponse(
        const BackendLifetime&, std::optional<RequestRate>, MonotonicTime sentAt, MonotonicTime now);
    // Another host passed on a statement. Returns whether it was news.
    bool noteRelayed(const LimitStatement&, MonotonicTime now);
    // Statements that changed after the version; advances the version.
    std::vector<LimitStatement> changesSince(std::uint64_t& version, std::size_t maxCount) const;
    // Forgets a server whose registration is gone.
    void forgetAfterRemoval(
        const std::function<bool(const BackendLifetime&)>& isRegistered, MonotonicTime now);

    // A caller's request for the service arrived at this host.
    void onRequest(const ServiceName&, MonotonicTime now);
    // The number of hosts that are registered, this one included.
    void setHostCount(int);
    // The traffic of all other hosts that can be heard.
    void setRemoteTraffic(FleetTraffic traffic) { m_remote = std::move(traffic); }
    // The traffic that this host reports to its peers.
    FleetTraffic localTraffic(MonotonicTime now);

    // Whether no server has named a limit lately.
    bool empty() const { return m_limits.empty(); }
    bool isLimited(const BackendLifetime&) const;
    std::size_t limitedCount() const;
    std::optional<RequestRate> limit(const BackendLifetime&) const;
    // The rate at which this host may send to the server now.
    RequestRate share(const BackendLifetime&, const ServiceName&, MonotonicTime now) const;
    // Requests that this host, and all hosts that can be heard, sent to the server in the last seconds.
    int recentLocalSends(const BackendLifetime&, MonotonicTime now) const;
    int recentSends(const BackendLifetime&, MonotonicTime now) const;

    // Whether this host may send a request to the server now.
    bool hasRoom(const BackendLifetime&, const ServiceName&, MonotonicTime now);
    // Counts a request, whether or not there is room.
    void count(const BackendLifetime&, const ServiceName&, MonotonicTime now);
    // A counted request was not sent.
    void giveBack(const BackendLifetime&, MonotonicTime now);

    std::function<void(LimitEvent, const BackendLifetime&, RequestRate)> onEvent;

private:
    struct Limit {
        LimitStatement statement;
        std::uint64_t version = 0;
        // Requests that this host may send: grows with its share, and is negative after requests that could
        // not be held back.
        double credit = 0;
        MonotonicTime creditAt {};
        // Until then, one request may be sent for which the credit has been charged.
        std::optional<Deadline> grantedUntil;
        std::deque<MonotonicTime> sends;
        MonotonicTime boundAt {};
        MonotonicTime changeReportedAt {};
    };

    // An exponential moving average of the requests of callers per second.
    struct Rate {
        double perSecond = 0;
        MonotonicTime at {};
        // The rate that the other hosts have received by now, and the one that they are receiving.
        double known = 0;
        double announced = 0;
        MonotonicTime announcedAt {};
    };

    Limit* findLimited(const BackendLifetime&);
    const Limit* findLimited(const BackendLifetime&) const;
    bool apply(const LimitStatement&, MonotonicTime now);
    void report(LimitEvent, const Limit&);
    void addCredit(Limit&, const ServiceName&, MonotonicTime now);
    static void announce(Rate&, double current, MonotonicTime now);
    double currentRate(const ServiceName&, MonotonicTime now) const;
    // The rate that the other hosts have received.
    double knownRate(const ServiceName&) const;
    // The part of the limit that belongs to the hosts that can be heard, this one included.
    double heardPart() const;
    bool isSpent(const Limit&, MonotonicTime now) const;

    RandomSource m_random;
    std::map<BackendLifetime, Limit> m_limits;
    std::uint64_t m_version = 0;
    std::map<ServiceName, Rate> m_rates;
    FleetTraffic m_remote;
    int m_hostCount = 1;
};

} // namespace almondscale
