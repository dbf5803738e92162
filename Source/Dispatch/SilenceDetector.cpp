#include "Dispatch/SilenceDetector.h"

#include <algorithm>

namespace almondscale {

SilenceDetector::SilenceDetector(SilenceOptions options, MonotonicTime now)
    : m_options(options)
    , m_idleSince(now)
{
}

void SilenceDetector::onProgress(std::uint64_t received, MonotonicTime now)
{
    m_received = std::max(m_received, received);
    m_idleSince = now;
    m_queriedAt.reset();
}

SilenceAction SilenceDetector::onStatus(const AttemptStatus& status, MonotonicTime now)
{
    // Progress was received while the query was pending.
    if (!m_queriedAt)
        return SilenceAction::Wait;
    m_queriedAt.reset();
    m_idleSince = now;
    switch (status.kind) {
    case AttemptStatus::Kind::Unknown:
    case AttemptStatus::Kind::Cancelled:
        return SilenceAction::Restart;
    case AttemptStatus::Kind::Done:
        return SilenceAction::Resume;
    case AttemptStatus::Kind::Queued:
    case AttemptStatus::Kind::Running:
        // All generated tokens were received, so the engine is slow and the connection works.
        return status.tokens > m_received ? SilenceAction::Resume : SilenceAction::Wait;
    }
    return SilenceAction::Wait;
}

SilenceAction SilenceDetector::check(MonotonicTime now)
{
    if (now < nextCheck())
        return SilenceAction::Wait;
    if (m_queriedAt)
        return SilenceAction::Restart;
    m_queriedAt = now;
    return SilenceAction::Query;
}

MonotonicTime SilenceDetector::nextCheck() const
{
    if (m_queriedAt)
        return *m_queriedAt + m_options.queryTimeout;
    return m_idleSince + m_options.idleTimeout;
}

void SilenceDetector::onResumed(MonotonicTime now)
{
    m_idleSince = now;
    m_queriedAt.reset();
}

} // namespace almondscale
