#include "Membership/LinkSelection.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>

namespace almondscale {

std::vector<HostId> selectLinkHosts(
    const std::vector<HostId>& hosts, const DataCentre& from, const DataCentre& to, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, HostId>> scored;
    scored.reserve(hosts.size());
    const std::string pair = from.text() + ">" + to.text() + ">";
    for (const auto& host : hosts) {
        const std::string key = pair + host.text();
        scored.emplace_back(XXH64(key.data(), key.size(), 0), host);
    }
    const auto kept = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept), scored.end());
    std::vector<HostId> chosen;
    for (std::size_t i = 0; i < kept; ++i)
        chosen.push_back(scored[i].second);
    return chosen;
}

} // namespace almondscale
