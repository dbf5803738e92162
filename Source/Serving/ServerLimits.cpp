#include "Serving/ServerLimits.h"

#include "Serving/BackendId.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondscale {

namespace {

    // The request rates are averaged over about this many requests, within these time constants: hosts of a
    // large fleet may have seconds between two requests.
    constexpr double averagedRequests = 4;
    constexpr double minAverageSeconds = 2;
    constexpr double maxAverageSeconds = 20;
    // Rate in requests per second that is added for each host, so that a host without recent requests can
    // send one.
    constexpr double minRate = 0.002;
    // A host's share follows its own rate only after the other hosts have received the rate.
    constexpr Nanoseconds announcementInterval = std::chrono::milliseconds(400);
    // Credit is kept for this long if it is worth a request or more.
    constexpr double creditSeconds = 0.5;
    // Fractions of a request are kept for this many times the time between requests of callers, within these
    // bounds.
    constexpr double fractionIntervals = 1.5;
    constexpr double minFractionSeconds = 0.5;
    constexpr double maxFractionSeconds = 120;
    constexpr Nanoseconds grantTime = std::chrono::seconds(1);
    // Sends are counted over this time. More than the limit allows by this many hold back all hosts.
    constexpr double maxBurst = 2;
    constexpr Nanoseconds sendWindow = std::chrono::seconds(2);
    // What a relayed statement must be newer by than a response that this host received, to cover its way
    // here.
    constexpr Nanoseconds relayMargin = std::chrono::milliseconds(500);
    // Rates within this share of each other are told to the other hosts with the next frame, not at once.
    constexpr double minUrgentChange = 0.1;
    constexpr Nanoseconds changeReportInterval = std::chrono::seconds(1);
    // A limit that held no request back for this long is reported again when it does.
    constexpr Nanoseconds bindReportInterval = std::chrono::seconds(5);
    // Statements are kept for this long after a limit has ended or its server has gone.
    constexpr Nanoseconds statementLifetime = std::chrono::seconds(60);

    double secondsBetween(MonotonicTime from, MonotonicTime to)
    {
        return std::max(0.0, std::chrono::duration<double>(to - from).count());
    }

    // The number of hosts that can be heard, this one included.
    int heardHosts(const FleetTraffic& remote, int hostCount)
    {
        return std::clamp(1 + remote.hosts, 1, hostCount);
    }

    double averageSeconds(double perSecond)
    {
        return std::clamp(averagedRequests / std::max(perSecond, 1e-9), minAverageSeconds, maxAverageSeconds);
    }

} // namespace

const char* limitEventName(LimitEvent event)
{
    switch (event) {
    case LimitEvent::Named:
        return "named";
    case LimitEvent::Changed:
        return "changed";
    case LimitEvent::Ended:
        return "ended";
    case LimitEvent::Binds:
        return "binds";
    }
    return "";
}

ServerLimits::ServerLimits(RandomSource random)
    : m_random(std::move(random))
{
}

bool ServerLimits::noteResponse(
    const BackendLifetime& server, std::optional<RequestRate> rate, MonotonicTime sentAt, MonotonicTime now)
{
    const auto known = m_limits.find(server);
    if (!rate) {
        if (known == m_limits.end() || !known->second.statement.rate
            || sentAt <= known->second.statement.statedAt)
            return false;
        return apply({ server, std::nullopt, sentAt }, now);
    }
    return apply({ server, rate, now }, now);
}

bool ServerLimits::noteRelayed(const LimitStatement& statement, MonotonicTime now)
{
    const auto known = m_limits.find(statement.server);
    if (known == m_limits.end()) {
        if (!statement.rate)
            return false;
        apply(statement, now);
        return true;
    }
    const auto& mine = known->second.statement;
    if (statement.rate == mine.rate)
        return false;
    const bool lower = statement.rate && (!mine.rate || *statement.rate < *mine.rate);
    if (statement.statedAt <= mine.statedAt + (lower ? Nanoseconds(0) : relayMargin))
        return false;
    apply(statement, now);
    return true;
}

bool ServerLimits::apply(const LimitStatement& statement, MonotonicTime now)
{
    auto& limit = m_limits[statement.server];
    const auto before = limit.statement.rate;
    limit.statement = statement;
    if (before == statement.rate)
        return false;
    limit.version = ++m_version;
    if (!statement.rate) {
        report(LimitEvent::Ended, limit);
        return true;
    }
    if (!before) {
        limit.credit = 0;
        limit.creditAt = now;
        limit.grantedUntil.reset();
        limit.boundAt = {};
        report(LimitEvent::Named, limit);
        return true;
    }
    if (now - limit.changeReportedAt >= changeReportInterval) {
        limit.changeReportedAt = now;
        report(LimitEvent::Changed, limit);
    }
    return std::abs(before->perSecond() - statement.rate->perSecond())
        > minUrgentChange * before->perSecond();
}

void ServerLimits::report(LimitEvent event, const Limit& limit)
{
    if (onEvent)
        onEvent(event, limit.statement.server, limit.statement.rate.value_or(RequestRate()));
}

std::vector<LimitStatement> ServerLimits::changesSince(std::uint64_t& version, std::size_t maxCount) const
{
    std::vector<const Limit*> changed;
    for (const auto& entry : m_limits) {
        if (entry.second.version > version)
            changed.push_back(&entry.second);
    }
    std::sort(
        changed.begin(), changed.end(), [](const auto* a, const auto* b) { return a->version < b->version; });
    changed.resize(std::min(changed.size(), maxCount));
    std::vector<LimitStatement> statements;
    for (const auto* limit : changed) {
        statements.push_back(limit->statement);
        version = limit->version;
    }
    return statements;
}

void ServerLimits::forgetAfterRemoval(
    const std::function<bool(const BackendLifetime&)>& isRegistered, MonotonicTime now)
{
    for (auto limit = m_limits.begin(); limit != m_limits.end();) {
        const auto& statement = limit->second.statement;
        const bool unused = !statement.rate || !isRegistered(limit->first);
        limit = unused && now - statement.statedAt > statementLifetime ? m_limits.erase(limit)
                                                                       : std::next(limit);
    }
}

void ServerLimits::onRequest(const ServiceName& service, MonotonicTime now)
{
    auto& rate = m_rates[service];
    const double current = currentRate(service, now);
    rate.perSecond = current + 1 / averageSeconds(current);
    rate.at = now;
    announce(rate, current, now);
}

void ServerLimits::announce(Rate& rate, double current, MonotonicTime now)
{
    if (now - rate.announcedAt < announcementInterval)
        return;
    rate.known = rate.announced;
    rate.announced = current;
    rate.announcedAt = now;
}

double ServerLimits::currentRate(const ServiceName& service, MonotonicTime now) const
{
    const auto rate = m_rates.find(service);
    if (rate == m_rates.end())
        return 0;
    const double perSecond = rate->second.perSecond;
    return perSecond * std::exp(-secondsBetween(rate->second.at, now) / averageSeconds(perSecond));
}

double ServerLimits::knownRate(const ServiceName& service) const
{
    const auto rate = m_rates.find(service);
    return rate == m_rates.end() ? 0 : rate->second.known;
}

void ServerLimits::setHostCount(int hosts) { m_hostCount = std::max(1, hosts); }

FleetTraffic ServerLimits::localTraffic(MonotonicTime now)
{
    FleetTraffic traffic;
    traffic.hosts = 1;
    for (auto& [service, rate] : m_rates) {
        const double current = currentRate(service, now);
        announce(rate, current, now);
        traffic.requestRates[service] = current;
    }
    for (const auto& entry : m_limits) {
        const int sends = recentLocalSends(entry.first, now);
        if (sends > 0)
            traffic.limitedSends[backendHash(entry.first.backend)] = sends;
    }
    return traffic;
}

ServerLimits::Limit* ServerLimits::findLimited(const BackendLifetime& server)
{
    const auto limit = m_limits.find(server);
    return limit == m_limits.end() || !limit->second.statement.rate ? nullptr : &limit->second;
}

const ServerLimits::Limit* ServerLimits::findLimited(const BackendLifetime& server) const
{
    const auto limit = m_limits.find(server);
    return limit == m_limits.end() || !limit->second.statement.rate ? nullptr : &limit->second;
}

bool ServerLimits::isLimited(const BackendLifetime& server) const { return findLimited(server) != nullptr; }

std::size_t ServerLimits::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_limits.begin(), m_limits.end(),
        [](const auto& entry) { return entry.second.statement.rate.has_value(); }));
}

std::optional<RequestRate> ServerLimits::limit(const BackendLifetime& server) const
{
    const auto* limit = findLimited(server);
    return limit ? limit->statement.rate : std::nullopt;
}

double ServerLimits::heardPart() const
{
    return static_cast<double>(heardHosts(m_remote, m_hostCount)) / m_hostCount;
}

RequestRate ServerLimits::share(
    const BackendLifetime& server, const ServiceName& service, MonotonicTime now) const
{
    const auto* limit = findLimited(server);
    if (!limit)
        return RequestRate();
    const int hosts = heardHosts(m_remote, m_hostCount);
    const auto remote = m_remote.requestRates.find(service);
    const double others = remote == m_remote.requestRates.end() ? 0 : std::max(0.0, remote->second);
    const double current = currentRate(service, now);
    const double known = knownRate(service);
    const double weight
        = (std::min(current, known) + minRate) / (std::max(current, known) + others + hosts * minRate);
    return RequestRate(limit->statement.rate->perSecond() * heardPart() * weight);
}

int ServerLimits::recentLocalSends(const BackendLifetime& server, MonotonicTime now) const
{
    const auto limit = m_limits.find(server);
    if (limit == m_limits.end())
        return 0;
    const auto& sends = limit->second.sends;
    return static_cast<int>(sends.end() - std::upper_bound(sends.begin(), sends.end(), now - sendWindow));
}

int ServerLimits::recentSends(const BackendLifetime& server, MonotonicTime now) const
{
    const auto remote = m_remote.limitedSends.find(backendHash(server.backend));
    return recentLocalSends(server, now)
        + (remote == m_remote.limitedSends.end() ? 0 : std::max(0, remote->second));
}

bool ServerLimits::isSpent(const Limit& limit, MonotonicTime now) const
{
    const double allowed
        = limit.statement.rate->perSecond() * heardPart() * std::chrono::duration<double>(sendWindow).count();
    return recentSends(limit.statement.server, now) + 1 > allowed + maxBurst;
}

void ServerLimits::addCredit(Limit& limit, const ServiceName& service, MonotonicTime now)
{
    const double share = this->share(limit.statement.server, service, now).perSecond();
    const double interval = 1 / std::max(knownRate(service), 1 / maxFractionSeconds);
    const double fractionSeconds
        = std::clamp(fractionIntervals * interval, minFractionSeconds, maxFractionSeconds);
    const double most = std::max(share * creditSeconds, std::min(1.0, share * fractionSeconds));
    limit.credit = std::min(most, limit.credit + share * secondsBetween(limit.creditAt, now));
    limit.creditAt = now;
}

bool ServerLimits::hasRoom(const BackendLifetime& server, const ServiceName& service, MonotonicTime now)
{
    auto* limit = findLimited(server);
    if (!limit)
        return true;
    addCredit(*limit, service, now);
    if (limit->grantedUntil && limit->grantedUntil->passed(now))
        limit->grantedUntil.reset();
    bool room = !isSpent(*limit, now);
    if (room && !limit->grantedUntil) {
        // With many hosts or a low limit, a host's share is a fraction of a request. Each fraction gets the
        // corresponding chance, so that together the hosts send as much as the limit allows.
        room = limit->credit >= 1 || uniform(m_random) < limit->credit;
        limit->credit = room ? std::max(0.0, limit->credit - 1) : std::min(limit->credit, 0.0);
        if (room)
            limit->grantedUntil = Deadline::after(now, grantTime);
    }
    if (!room) {
        if (limit->boundAt == MonotonicTime() || now - limit->boundAt > bindReportInterval)
            report(LimitEvent::Binds, *limit);
        limit->boundAt = now;
    }
    return room;
}

void ServerLimits::count(const BackendLifetime& server, const ServiceName& service, MonotonicTime now)
{
    auto* limit = findLimited(server);
    if (!limit)
        return;
    addCredit(*limit, service, now);
    if (limit->grantedUntil && !limit->grantedUntil->passed(now))
        limit->grantedUntil.reset();
    else
        limit->credit -= 1;
    while (!limit->sends.empty() && limit->sends.front() <= now - sendWindow)
        limit->sends.pop_front();
    limit->sends.push_back(now);
}

void ServerLimits::giveBack(const BackendLifetime& server, MonotonicTime now)
{
    auto* limit = findLimited(server);
    if (!limit || limit->sends.empty())
        return;
    limit->sends.pop_back();
    limit->grantedUntil = Deadline::after(now, grantTime);
}

} // namespace almondscale
