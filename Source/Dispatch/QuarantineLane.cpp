#include "Dispatch/QuarantineLane.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace almondscale {

namespace {

    constexpr std::size_t maxWaiting = 4096;

    // Longer than any request runs.
    constexpr Nanoseconds grantLifetime = std::chrono::minutes(2);

    bool same(const QuarantineEntry& entry, const HostId& host, const RequestId& request)
    {
        return entry.host == host && entry.request == request;
    }

} // namespace

QuarantineLane::QuarantineLane(QuarantineOptions options)
    : m_options(options)
{
}

bool QuarantineLane::keepEngines(const std::vector<EngineId>& openEngines, bool anySuspect, MonotonicTime now)
{
    const auto open = [&](const EngineId& engine) {
        return std::find(openEngines.begin(), openEngines.end(), engine) != openEngines.end();
    };
    std::vector<EngineId> kept;
    std::copy_if(m_kept.begin(), m_kept.end(), std::back_inserter(kept), open);
    const std::size_t most = std::max<std::size_t>(1, openEngines.size() / 2);
    for (const auto& engine : openEngines) {
        if (kept.size() >= std::min(m_options.parallel, most))
            break;
        if (std::find(kept.begin(), kept.end(), engine) == kept.end())
            kept.push_back(engine);
    }
    if (!anySuspect && m_waiting.empty() && m_running.empty())
        kept.clear();
    if (kept == m_kept)
        return false;
    m_kept = std::move(kept);
    m_pausedUntil = std::max(m_pausedUntil, now + m_options.settleTime);
    return true;
}

bool QuarantineLane::enqueue(const QuarantineEntry& entry)
{
    if (m_waiting.size() >= maxWaiting)
        return false;
    const auto place = std::upper_bound(m_waiting.begin(), m_waiting.end(), entry,
        [](const auto& a, const auto& b) { return a.deadline < b.deadline; });
    m_waiting.insert(place, entry);
    return true;
}

void QuarantineLane::remove(const HostId& host, const RequestId& request)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                        [&](const auto& entry) { return same(entry, host, request); }),
        m_waiting.end());
}

std::optional<QuarantineGrant> QuarantineLane::grant(
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
        return verdict(entry.fingerprint) != StrikeVerdict::Deciding && !runsEqual(entry.fingerprint);
    });
    if (next == m_waiting.end())
        return std::nullopt;
    const QuarantineGrant grant { *next, *engine };
    m_waiting.erase(next);
    m_running.push_back({ grant, now + grantLifetime });
    return grant;
}

void QuarantineLane::finish(const HostId& host, const RequestId& request)
{
    m_running.erase(std::remove_if(m_running.begin(), m_running.end(),
                        [&](const auto& running) { return same(running.grant.entry, host, request); }),
        m_running.end());
}

std::optional<EngineId> QuarantineLane::freeEngine() const
{
    const auto taken = [&](const EngineId& engine) {
        return std::any_of(m_running.begin(), m_running.end(),
            [&](const auto& running) { return running.grant.engine == engine; });
    };
    const auto found
        = std::find_if(m_kept.begin(), m_kept.end(), [&](const auto& engine) { return !taken(engine); });
    return found == m_kept.end() ? std::nullopt : std::optional<EngineId>(*found);
}

bool QuarantineLane::runsEqual(Fingerprint fingerprint) const
{
    return std::any_of(m_running.begin(), m_running.end(),
        [&](const auto& running) { return running.grant.entry.fingerprint == fingerprint; });
}

} // namespace almondscale
