#include "Peers.h"

#include "Http/HttpClient.h"

#include <algorithm>
#include <map>

namespace almondscale {

namespace {

    constexpr auto callTimeout = std::chrono::milliseconds(500);

} // namespace

Peers::Peers(const MembershipService& membership, const HostSettings& settings)
    : m_membership(membership)
    , m_settings(settings)
{
}

std::vector<HostId> Peers::live() const
{
    std::vector<HostId> peers;
    for (const Member& member : m_membership.members()) {
        if (member.live() && member.host != m_settings.host)
            peers.push_back(member.host);
    }
    return peers;
}

HostId Peers::firstOfDataCentre() const
{
    HostId first = m_settings.host;
    for (const Member& member : m_membership.members()) {
        const bool peer = member.live() && member.dataCentre == m_settings.dataCentre;
        if (peer && member.host < first)
            first = member.host;
    }
    return first;
}

DataCentreRank Peers::placeInDataCentre() const
{
    DataCentreRank result;
    result.hosts = 0;
    for (const Member& member : m_membership.members()) {
        if (!member.live() || member.dataCentre != m_settings.dataCentre)
            continue;
        ++result.hosts;
        if (member.host < m_settings.host)
            ++result.rank;
    }
    result.hosts = std::max<std::size_t>(1, result.hosts);
    return result;
}

std::vector<LimitPeer> Peers::sharingLimits(const std::vector<HostId>& listed) const
{
    std::map<HostId, bool> reachable;
    for (const HostId& host : listed)
        reachable[host] = false;
    for (const Member& member : m_membership.members()) {
        if (member.live() || member.state == MemberState::Unreachable)
            reachable[member.host] = member.live();
    }
    std::vector<LimitPeer> peers;
    peers.reserve(reachable.size());
    for (const auto& [host, live] : reachable)
        peers.push_back({ host, live });
    return peers;
}

std::optional<std::string> Peers::call(
    const HostId& host, const char* method, const char* path, const std::string& body) const
{
    const auto address = operatorsAddress(host);
    if (!address)
        return std::nullopt;
    HttpCall call;
    call.to = *address;
    call.method = method;
    call.path = path;
    call.headers["x-peer-key"] = m_settings.peersKey;
    call.body = body;
    call.deadline = Deadline::after(monotonicClock()(), callTimeout);
    const CallResult result = callOnce(call);
    if (!result.ok() || result.response->status != 200)
        return std::nullopt;
    return result.response->body;
}

std::optional<Address> Peers::operatorsAddress(const HostId& host) const
{
    for (const SharedItem& item : m_membership.items(addressItem)) {
        if (item.host == host)
            return parseAddress(item.value);
    }
    return std::nullopt;
}

} // namespace almondscale
