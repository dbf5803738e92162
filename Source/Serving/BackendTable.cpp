#include "Serving/BackendTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondscale {

namespace {

    // Weight of the newest attempt in the moving averages, which cover about ten attempts.
    constexpr double averageWeight = 0.1;
    // Ejection time after a failure. Doubled with each failed probe up to 1.2 s: probes are cheap, and a
    // server that has recovered should be used soon.
    constexpr Nanoseconds baseEjectionTime = std::chrono::milliseconds(300);
    constexpr int maxEjectionDoublings = 2;
    // A probe without an outcome after this time lets another attempt probe the server.
    constexpr Nanoseconds probeTimeout = std::chrono::milliseconds(600);
    // Ejection time after a refusal, which means that the server is full: about the time in which it finishes
    // a request.
    constexpr Nanoseconds refusalEjectionTime = std::chrono::milliseconds(50);
    // How long a request limit inferred from a refusal is assumed to hold.
    constexpr Nanoseconds requestLimitTime = std::chrono::seconds(10);
    // Limits of one slowness measurement, so that a single stall does not exclude a server.
    constexpr double minSlowness = 0.5;
    constexpr double maxSlowness = 12;

    // How long a prefix is announced to the other hosts: two or three frames.
    constexpr Nanoseconds announcementWindow = std::chrono::milliseconds(500);
    // Minimum time between announcements of a prefix; shorter than the time for which a prefix is assumed to
    // be cached.
    constexpr Nanoseconds announcementInterval = std::chrono::seconds(8);

    double movingAverage(double average, double newest)
    {
        return average * (1 - averageWeight) + newest * averageWeight;
    }

} // namespace

BackendTable::BackendTable(RandomSource random)
    : m_limits(std::move(random))
{
}

void BackendTable::put(const BackendRecord& record)
{
    auto& backend = m_backends[record.id];
    const bool same = backend.record.address == record.address
        && (record.startedAtMs == 0 || backend.record.startedAtMs == 0
            || backend.record.startedAtMs == record.startedAtMs);
    if (!same) {
        const auto localLoad = backend.localLoad;
        const auto remoteLoad = backend.remoteLoad;
        backend = Backend();
        backend.localLoad = localLoad;
        backend.remoteLoad = remoteLoad;
    }
    backend.record = record;
}

void BackendTable::remove(const BackendId& id) { m_backends.erase(id); }

const Backend* BackendTable::find(const BackendId& id) const
{
    const auto found = m_backends.find(id);
    return found == m_backends.end() ? nullptr : &found->second;
}

std::vector<const Backend*> BackendTable::usable(
    const ServiceName& service, MonotonicTime now, std::optional<EngineRole> role) const
{
    std::vector<const Backend*> healthy;
    std::vector<const Backend*> ejectedServers;
    for (const auto& entry : m_backends) {
        const auto& backend = entry.second;
        if (backend.record.service != service || !maySendTo(backend, now))
            continue;
        if (role && backend.record.role != role)
            continue;
        const bool ejected = backend.ejectedUntil > now;
        if ((ejected && backend.unreachable)
            || (!m_limits.empty() && !m_limits.hasRoom(lifetimeOf(backend.record), service, now)))
            continue;
        (ejected ? ejectedServers : healthy).push_back(&backend);
    }
    return healthy.empty() ? ejectedServers : healthy;
}

bool BackendTable::isLeaving(const Backend& backend) const
{
    return backend.record.draining || (!m_leaving.empty() && m_leaving.count(lifetimeOf(backend.record)) > 0);
}

bool BackendTable::maySendTo(const Backend& backend, MonotonicTime now) const
{
    if (isLeaving(backend))
        return false;
    const auto transition = m_roleTransitions.empty() ? m_roleTransitions.end()
                                                      : m_roleTransitions.find(lifetimeOf(backend.record));
    if (transition != m_roleTransitions.end() && transition->second.role != backend.record.role
        && !transition->second.until.passed(now))
        return false;
    const auto backoff = m_backoffs.empty() ? m_backoffs.end() : m_backoffs.find(lifetimeOf(backend.record));
    return backoff == m_backoffs.end() || backoff->second.passed(now);
}

bool BackendTable::maySendTo(const BackendId& id, MonotonicTime now) const
{
    const auto* backend = find(id);
    return backend && maySendTo(*backend, now);
}

std::optional<SendPermit> BackendTable::admit(const BackendId& id, MonotonicTime now)
{
    const auto* backend = find(id);
    if (!backend || !maySendTo(*backend, now))
        return std::nullopt;
    const auto server = lifetimeOf(backend->record);
    if (!m_limits.hasRoom(server, backend->record.service, now))
        return std::nullopt;
    SendPermit permit(server, false);
    onSend(permit, now);
    return permit;
}

void BackendTable::onSend(SendPermit& permit, MonotonicTime now)
{
    if (permit.m_counted || !m_limits.isLimited(permit.m_server))
        return;
    const auto* backend = find(permit.m_server.backend);
    m_limits.count(permit.m_server, backend ? backend->record.service : ServiceName(), now);
    permit.m_counted = true;
}

void BackendTable::giveBack(SendPermit permit, MonotonicTime now)
{
    if (permit.counted())
        m_limits.giveBack(permit.server(), now);
}

std::optional<RequestRate> BackendTable::limitedRate(
    const ServiceName& service, MonotonicTime now, std::optional<EngineRole> role) const
{
    std::optional<RequestRate> sum;
    if (m_limits.empty())
        return sum;
    for (const auto& entry : m_backends) {
        const auto& backend = entry.second;
        if (backend.record.service != service || (role && backend.record.role != role) || backend.unreachable)
            continue;
        const auto server = lifetimeOf(backend.record);
        if (!m_limits.isLimited(server) || !maySendTo(backend, now))
            continue;
        const double share = m_limits.share(server, service, now).perSecond();
        sum = RequestRate(sum.value_or(RequestRate()).perSecond() + share);
    }
    return sum;
}

bool BackendTable::noteLeaving(const BackendLifetime& server, const LeavingNotice& notice)
{
    if (!m_leaving.emplace(server, notice).second)
        return false;
    m_leavingLog.add(server);
    return true;
}

std::optional<LeavingNotice> BackendTable::leavingNotice(const BackendId& id) const
{
    const auto* backend = find(id);
    const auto notice = backend ? m_leaving.find(lifetimeOf(backend->record)) : m_leaving.end();
    return notice == m_leaving.end() ? std::nullopt : std::optional(notice->second);
}

std::vector<BackendLifetime> BackendTable::leavingSince(std::size_t& position) const
{
    return m_leavingLog.since(position);
}

bool BackendTable::noteBackoff(const BackendLifetime& server, Deadline until, MonotonicTime now)
{
    for (auto backoff = m_backoffs.begin(); backoff != m_backoffs.end();)
        backoff = backoff->second.passed(now) ? m_backoffs.erase(backoff) : std::next(backoff);
    // Responses to concurrent requests arrive in any order, so the longest backoff wins.
    auto& known = m_backoffs[server];
    if (!(known < until))
        return false;
    known = until;
    return true;
}

Deadline BackendTable::backoffUntil(const BackendId& id) const
{
    const auto* backend = find(id);
    const auto backoff = backend ? m_backoffs.find(lifetimeOf(backend->record)) : m_backoffs.end();
    return backoff == m_backoffs.end() ? Deadline() : backoff->second;
}

std::optional<Deadline> BackendTable::earliestBackoffEnd(const ServiceName& service, MonotonicTime now) const
{
    std::optional<Deadline> first;
    for (const auto& [server, until] : m_backoffs) {
        const auto* backend = find(server.backend);
        if (!backend || backend->record.service != service || until.passed(now))
            continue;
        if (!first || until < *first)
            first = until;
    }
    return first;
}

bool BackendTable::noteRoleTransition(const RoleTransition& transition, MonotonicTime now)
{
    auto& known = m_roleTransitions[transition.engine];
    // A transition received over several links has deadlines that differ by the latency.
    if (known.role == transition.role && !known.until.passed(now))
        return false;
    known = transition;
    m_roleTransitionLog.add(transition);
    return true;
}

std::vector<RoleTransition> BackendTable::roleTransitionsSince(std::size_t& position) const
{
    return m_roleTransitionLog.since(position);
}

void BackendTable::open(const BackendId& id, const BackendLoad& load)
{
    const auto found = m_backends.find(id);
    if (found != m_backends.end())
        found->second.localLoad += load;
}

void BackendTable::close(const BackendId& id, const BackendLoad& load)
{
    const auto found = m_backends.find(id);
    if (found != m_backends.end())
        found->second.localLoad -= load;
}

void BackendTable::noteAttempt(const BackendId& id, MonotonicTime now)
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end() || found->second.consecutiveFailures == 0
        || found->second.ejectedUntil > now)
        return;
    found->second.probing = true;
    found->second.ejectedUntil = now + probeTimeout;
}

void BackendTable::noteOutcome(const BackendId& id, BackendOutcome outcome, MonotonicTime now)
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end())
        return;
    auto& backend = found->second;
    if (outcome == BackendOutcome::Unreachable)
        ++m_consecutiveConnectFailures[backend.record.dataCentre];
    else if (outcome != BackendOutcome::ConnectionLost && outcome != BackendOutcome::Abandoned)
        m_consecutiveConnectFailures.erase(backend.record.dataCentre);
    switch (outcome) {
    case BackendOutcome::Connected:
        backend.unreachable = false;
        backend.ejectedUntil = {};
        return;
    case BackendOutcome::Answered:
        backend.consecutiveFailures = 0;
        backend.probing = false;
        backend.unreachable = false;
        backend.ejectedUntil = {};
        backend.failureShare = movingAverage(backend.failureShare, 0);
        return;
    case BackendOutcome::Refused:
        backend.unreachable = false;
        backend.failureShare = movingAverage(backend.failureShare, 1);
        backend.ejectedUntil = std::max(backend.ejectedUntil, now + refusalEjectionTime);
        // The refused request is one of the outstanding ones.
        backend.requestLimit = std::max(backend.record.slots, backend.load().requests - 1);
        backend.requestLimitUntil = now + requestLimitTime;
        return;
    case BackendOutcome::Failed:
        backend.consecutiveFailures = 0;
        backend.probing = false;
        backend.unreachable = false;
        backend.failureShare = movingAverage(backend.failureShare, 1);
        return;
    case BackendOutcome::Unreachable:
    case BackendOutcome::ConnectionLost:
        backend.unreachable = backend.unreachable || outcome == BackendOutcome::Unreachable;
        backend.failureShare = movingAverage(backend.failureShare, 1);
        // Concurrent attempts fail together; only the first counts.
        if (backend.ejectedUntil > now && !backend.probing)
            return;
        backend.probing = false;
        backend.ejectedUntil
            = now + baseEjectionTime * (1 << std::min(backend.consecutiveFailures, maxEjectionDoublings));
        ++backend.consecutiveFailures;
        return;
    case BackendOutcome::Abandoned:
        return;
    }
}

int BackendTable::consecutiveConnectFailures(const DataCentre& dataCentre) const
{
    const auto found = m_consecutiveConnectFailures.find(dataCentre);
    return found == m_consecutiveConnectFailures.end() ? 0 : found->second;
}

void BackendTable::noteSpeed(const BackendId& id, Nanoseconds taken, Nanoseconds expected)
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end() || expected.count() <= 0)
        return;
    const double ratio = static_cast<double>(taken.count()) / static_cast<double>(expected.count());
    found->second.slowness
        = movingAverage(found->second.slowness, std::clamp(ratio, minSlowness, maxSlowness));
}

void BackendTable::setFactors(const BackendId& id, const ServerFactors& factors)
{
    const auto found = m_backends.find(id);
    if (found != m_backends.end())
        found->second.factors = factors;
}

void BackendTable::noteSentPrefix(const BackendId& id, std::uint64_t prefix, MonotonicTime now)
{
    const auto found = m_backends.find(id);
    if (found == m_backends.end() || prefix == 0)
        return;
    auto& prefixes = found->second.prefixes;
    const auto before = prefixes.find(prefix);
    if (before == prefixes.end() || now - before->second > announcementInterval)
        m_announcedPrefixes.push_back({ { backendHash(id), prefix }, now });
    prefixes[prefix] = now;
}

std::set<SentPrefix> BackendTable::recentlySentPrefixes(MonotonicTime now)
{
    while (!m_announcedPrefixes.empty() && now - m_announcedPrefixes.front().at > announcementWindow)
        m_announcedPrefixes.pop_front();
    std::set<SentPrefix> prefixes;
    for (const auto& announced : m_announcedPrefixes)
        prefixes.insert(announced.prefix);
    return prefixes;
}

void BackendTable::noteRemotePrefixes(const std::set<SentPrefix>& sent, MonotonicTime now)
{
    if (sent.empty())
        return;
    for (auto& entry : m_backends) {
        const auto hash = backendHash(entry.first);
        for (auto prefix = sent.lower_bound({ hash, 0 }); prefix != sent.end() && prefix->backend == hash;
             ++prefix)
            entry.second.prefixes[prefix->prefix] = now;
    }
}

void BackendTable::forgetPrefixesBefore(MonotonicTime oldest)
{
    for (auto& entry : m_backends) {
        auto& prefixes = entry.second.prefixes;
        for (auto prefix = prefixes.begin(); prefix != prefixes.end();)
            prefix = prefix->second < oldest ? prefixes.erase(prefix) : std::next(prefix);
    }
}

BackendTable::Loads BackendTable::localLoads() const
{
    Loads loads;
    for (const auto& entry : m_backends) {
        const auto& localLoad = entry.second.localLoad;
        if (localLoad.requests != 0 || std::abs(localLoad.prefillMs) + std::abs(localLoad.deferredMs) > 0.5)
            loads[backendHash(entry.first)] = localLoad;
    }
    return loads;
}

void BackendTable::setRemoteLoads(const Loads& loads)
{
    for (auto& entry : m_backends) {
        const auto found = loads.find(backendHash(entry.first));
        entry.second.remoteLoad = found == loads.end() ? BackendLoad() : found->second;
    }
}

} // namespace almondscale
