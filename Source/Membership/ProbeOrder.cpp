#include "Membership/ProbeOrder.h"

#include <algorithm>
#include <utility>

namespace almondscale {

void shuffleHosts(std::vector<HostId>& hosts, const RandomSource& random)
{
    for (std::size_t left = hosts.size(); left > 1; --left)
        std::swap(hosts[left - 1], hosts[uniformBelow(random, left)]);
}

std::optional<HostId> ProbeOrder::next(const std::vector<HostId>& candidates, const RandomSource& random)
{
    while (!m_round.empty()) {
        const HostId host = m_round.back();
        m_round.pop_back();
        if (std::find(candidates.begin(), candidates.end(), host) != candidates.end())
            return host;
    }
    if (candidates.empty())
        return std::nullopt;
    m_round = candidates;
    shuffleHosts(m_round, random);
    const HostId host = m_round.back();
    m_round.pop_back();
    return host;
}

} // namespace almondscale
