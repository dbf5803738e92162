#include "HostListDuty.h"

#include "Core/LogEvent.h"
#include "EngineIdList.h"

namespace almondscale {

namespace {

    // The shared item that names the leaving engines, separated by blanks.
    constexpr const char* leavingItem = "leaving";
    constexpr auto stepInterval = std::chrono::milliseconds(500);
    constexpr std::size_t frequentReaders = 2;
    // Steps between two reads of the list by a frequent reader, and by any other host.
    constexpr int frequentSteps = 1;
    constexpr int rareSteps = 20;

} // namespace

HostListDuty::HostListDuty(const PlatformClient& platform, MembershipService& membership,
    EngineDirectory& engines, const HostSettings& settings, const Peers& peers)
    : m_platform(platform)
    , m_membership(membership)
    , m_engines(engines)
    , m_settings(settings)
    , m_peers(peers)
    , m_duty(stepInterval, [this] { step(); })
{
}

void HostListDuty::step()
{
    if (m_step++ % (readsOften() ? frequentSteps : rareSteps) == 0)
        readList();
    applyLeaving();
}

bool HostListDuty::readsOften() const { return m_peers.placeInDataCentre().rank < frequentReaders; }

void HostListDuty::readList()
{
    const auto list = m_platform.hosts();
    // While the platform is away, what it said last still holds.
    if (!list)
        return;
    std::vector<SeedHost> seeds;
    std::vector<HostId> listed;
    for (const ListedHost& host : list.value().hosts) {
        if (!host.leaving)
            listed.push_back(host.id);
        if (!host.leaving && host.id != m_settings.host)
            seeds.push_back({ host.id, host.controlAddress, host.dataCentre });
    }
    m_membership.setSeeds(std::move(seeds));
    {
        const std::lock_guard lock(m_mutex);
        m_listedHosts = std::move(listed);
    }
    m_listedLeaving.clear();
    for (const ListedBackend& backend : list.value().backends) {
        if (backend.leaving)
            m_listedLeaving.insert(EngineId(backend.id));
    }
}

std::vector<HostId> HostListDuty::listedHosts() const
{
    const std::lock_guard lock(m_mutex);
    return m_listedHosts;
}

void HostListDuty::applyLeaving()
{
    const std::string text = writeEngineIds(m_listedLeaving);
    if (text != m_published) {
        m_published = text;
        LogEvent("backends_leaving").with("engines", text);
        if (text.empty())
            m_membership.retract(leavingItem);
        else
            m_membership.publish(leavingItem, text, ItemScope::Everywhere);
    }
    std::set<EngineId> leaving = m_listedLeaving;
    for (const SharedItem& item : m_membership.items(leavingItem))
        readEngineIds(item.value, leaving);
    m_engines.setLeaving(leaving);
}

} // namespace almondscale
