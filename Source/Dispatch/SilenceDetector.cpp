#include "Dispatch/SilenceDetector.h"

#include <algorithm>

namespace almondscale {

SilenceDetector::SilenceDetector(SilenceOptions options, MonotonicTime now)
    : m_options(options)
    , m_quietSince(now)
{
}

void SilenceDetector::onProgress(std::uint64_t received, MonotonicTime now)
{
    m_received = std::max(m_received, received);
    m_quietSince = now;
    m_askedAt.reset();
}

SilenceAction SilenceDetector::onStatus(const AttemptStatus& status, MonotonicTime now)
{
    // Progress came in while the question was on its way.
    if (!m_askedAt)
        return SilenceAction::Wait;
    m_askedAt.reset();
    m_quietSince = now;
    switch (status.kind) {
    case AttemptStatus::Kind::Unknown:
    case AttemptStatus::Kind::Cancelled:
        return SilenceAction::Restart;
    case AttemptStatus::Kind::Done:
        return SilenceAction::Resume;
    case AttemptStatus::Kind::Queued:
    case AttemptStatus::Kind::Running:
        // Nothing was made that did not arrive: it is the engine that is slow.
        return status.tokens > m_received ? SilenceAction::Resume : SilenceAction::Wait;
    }
    return SilenceAction::Wait;
}

SilenceAction SilenceDetector::check(MonotonicTime now)
{
    if (now < nextCheck())
        return SilenceAction::Wait;
    if (m_askedAt)
        return SilenceAction::Restart;
    m_askedAt = now;
    return SilenceAction::Ask;
}

MonotonicTime SilenceDetector::nextCheck() const
{
    if (m_askedAt)
        return *m_askedAt + m_options.answerLimit;
    return m_quietSince + m_options.idleLimit;
}

void SilenceDetector::onResumed(MonotonicTime now)
{
    m_quietSince = now;
    m_askedAt.reset();
}

} // namespace almondscale
