#include "Routing/PrefixShares.h"

namespace almondscale {

namespace {

    // The number of requests after which all counts are halved.
    constexpr int decayInterval = 256;

    // Prefixes with a lower count are removed.
    constexpr double minCount = 0.2;

} // namespace

void PrefixShares::add(PrefixHash prefix)
{
    m_counts[prefix] += 1;
    m_total += 1;
    if (++m_sinceDecay >= decayInterval)
        decay();
}

double PrefixShares::share(PrefixHash prefix) const
{
    const auto found = m_counts.find(prefix);
    return found == m_counts.end() ? 0 : found->second / m_total;
}

void PrefixShares::decay()
{
    m_sinceDecay = 0;
    m_total /= 2;
    for (auto count = m_counts.begin(); count != m_counts.end();) {
        count->second /= 2;
        count = count->second < minCount ? m_counts.erase(count) : std::next(count);
    }
}

} // namespace almondscale
