#include "Serving/RouteTable.h"

#include "Http/LowerCase.h"

#include <algorithm>
#include <utility>

namespace almondscale {

namespace {

    std::string lowerHost(const std::string& host) { return lowerCase(host.substr(0, host.find(':'))); }

    // The path of a request target, which may be in absolute form and have a query.
    std::string pathOf(const std::string& target)
    {
        std::size_t begin = 0;
        if (const auto scheme = target.find("://"); scheme != std::string::npos && target.front() != '/')
            begin = std::min(target.find('/', scheme + 3), target.size());
        const auto end = target.find_first_of("?#", begin);
        return target.substr(begin, end == std::string::npos ? end : end - begin);
    }

} // namespace

RouteTable::RouteTable()
    : m_manifest(std::make_shared<Manifest>())
{
}

bool RouteTable::adopt(Manifest manifest)
{
    if (manifest.version <= m_manifest->version)
        return false;
    m_manifest = std::make_shared<const Manifest>(std::move(manifest));
    m_organisations = m_manifest->organisations ? std::make_shared<Organisations>(m_manifest) : nullptr;
    m_routes.clear();
    for (const auto& route : m_manifest->routes)
        m_routes[lowerHost(route.host) + route.pathPrefix] = std::make_shared<const Route>(route);
    return true;
}

std::shared_ptr<const Route> RouteTable::find(const std::string& host, const std::string& target) const
{
    const auto name = lowerHost(host);
    const auto path = pathOf(target);
    for (auto slash = path.rfind('/'); slash != std::string::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = m_routes.find(name + path.substr(0, slash + 1));
        if (found != m_routes.end())
            return found->second;
        if (slash == 0)
            break;
    }
    return nullptr;
}

const ServiceSpec* RouteTable::service(const ServiceName& name) const
{
    const auto found = m_manifest->services.find(name);
    return found == m_manifest->services.end() ? nullptr : &found->second;
}

const ServiceName& drawService(const Route& route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const auto& share : route.shares)
        total += static_cast<std::uint64_t>(std::max(0, share.weight));
    if (total == 0)
        return route.shares.front().service;
    std::uint64_t remaining = draw % total;
    for (const auto& share : route.shares) {
        const auto weight = static_cast<std::uint64_t>(std::max(0, share.weight));
        if (remaining < weight)
            return share.service;
        remaining -= weight;
    }
    return route.shares.back().service;
}

} // namespace almondscale
