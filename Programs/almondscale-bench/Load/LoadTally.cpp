#include "Load/LoadTally.h"

#include "Load/Percentile.h"

namespace almondscale {

namespace {

    // More faults than these tell nothing new.
    constexpr std::size_t maxFaults = 20;

} // namespace

void LoadTally::onOutcome(const CallOutcome& outcome)
{
    m_inTime += outcome.inTime ? 1 : 0;
    if (outcome.firstToken)
        m_firstTokens.push_back(*outcome.firstToken);
    switch (outcome.kind) {
    case CallOutcome::Kind::Complete:
        ++m_complete;
        return;
    case CallOutcome::Kind::Refused:
        ++m_refused;
        ++m_refusals[outcome.refusal];
        return;
    case CallOutcome::Kind::Failed:
        ++m_failed;
        if (m_faults.size() < maxFaults)
            m_faults.push_back(outcome.fault);
        return;
    }
}

Nanoseconds LoadTally::firstToken(double share) const { return percentile(m_firstTokens, share); }

} // namespace almondscale
