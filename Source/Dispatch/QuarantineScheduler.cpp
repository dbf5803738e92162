#include "Dispatch/QuarantineScheduler.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace almondscale {

namespace {

    constexpr std::size_t maxWaiting = 4096;

    // Longer than the longest request.
    constexpr Nanoseconds grantLifetime = std::chrono::minutes(2);

    bool same(const QuarantineEntry& entry, const HostId& host, const RequestId& request)
    {
        return entry.host == host && entry.request == request;
    }

} // namespace

QuarantineScheduler::QuarantineScheduler(QuarantineOptions options)
    : m_options(options)
{
}

bool QuarantineScheduler::reserveEngines(
    const std::vector<EngineId>& openEngines, bool anySuspect, MonotonicTime now)
{
    const auto open = [&](const EngineId& engine) {
        return std::find(openEngines.begin(), openEngines.end(), engine) != openEngines.end();
    };
    std::vector<EngineId> reserved;
    std::copy_if(m_reserved.begin(), m_reserved.end(), std::back_inserter(reserved), open);
    const std::size_t maxReserved = std::max<std::size_t>(1, openEngines.size() / 2);
    for (const auto& engine : openEngines) {
        if (reserved.size() >= std::min(m_options.maxParallel, maxReserved))
            break;
        if (std::find(reserved.begin(), reserved.end(), engine) == reserved.end())
            reserved.push_back(engine);
    }
    if (!anySuspect && m_waiting.empty() && m_running.empty())
        reserved.clear();
    if (reserved == m_reserved)
        return false;
    m_reserved = std::move(reserved);
    m_pausedUntil = std::max(m_pausedUntil, now + m_options.settleTime);
    return true;
}

bool QuarantineScheduler::enqueue(const QuarantineEntry& entry)
{
    if (m_waiting.size() >= maxWaiting)
        return false;
    const auto place = std::upper_bound(m_waiting.begin(), m_waiting.end(), entry,
        [](const auto& a, const auto& b) { return a.deadline < b.deadline; });
    m_waiting.insert(place, entry);
    return true;
}

void QuarantineScheduler::remove(const HostId& host, const RequestId& request)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                        [&](const auto& entry) { return same(entry, host, request); }),
        m_waiting.end());
}

std::optional<QuarantineGrant> QuarantineScheduler::grant(
    MonotonicTime now, const std::function<StrikeVerdict(Fingerprint)>& verdict)
{
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(),
                        [&](const auto& running) { return now >= running.expiresAt; }),
        m_running.end());
    m_waiting.erase(
        std::remove_if(m_waiting.begin(), m_waiting.end(),
            [&](const auto& entry) { return verdict(entry.fingerprint) == StrikeVerdict::Refused; }),
        m_waiting.end());
    const auto engine = freeEngine();
    if (!engine || now < m_pausedUntil)
        return std::nullopt;
    const auto next = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto& entry) {
        return verdict(entry.fingerprint) != StrikeVerdict::Deciding && !isRunning(entry.fingerprint);
    });
    if (next == m_waiting.end())
        return std::nullopt;
    const QuarantineGrant grant { *next, *engine };
    m_waiting.erase(next);
    m_running.push_back({ grant, now + grantLifetime });
    return grant;
}

void QuarantineScheduler::finish(const HostId& host, const RequestId& request)
{
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(),
                        [&](const auto& running) { return same(running.grant.entry, host, request); }),
        m_running.end());
}

std::optional<EngineId> QuarantineScheduler::freeEngine() const
{
    const auto taken = [&](const EngineId& engine) {
        return std::any_of(m_running.begin(), m_running.end(),
            [&](const auto& running) { return running.grant.engine == engine; });
    };
    const auto found = std::find_if(
        m_reserved.begin(), m_reserved.end(), [&](const auto& engine) { return !taken(engine); });
    return found == m_reserved.end() ? std::nullopt : std::optional<EngineId>(*found);
}

bool QuarantineScheduler::isRunning(Fingerprint fingerprint) const
{
    return std::any_of(m_running.begin(), m_running.end(),
        [&](const auto& running) { return running.grant.entry.fingerprint == fingerprint; });
}

} // namespace almondscale
