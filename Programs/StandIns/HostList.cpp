#include "StandIns/HostList.h"

namespace almondscale::standin {

HostList::HostList(Nanoseconds lag)
    : m_lag(lag)
{
}

void HostList::set(const std::string& id, const std::string& entry, MonotonicTime now)
{
    m_changes.push_back({ now + m_lag, id, entry });
}

void HostList::remove(const std::string& id, MonotonicTime now)
{
    m_changes.push_back({ now + m_lag, id, {} });
}

const std::map<std::string, std::string>& HostList::read(MonotonicTime now)
{
    while (!m_changes.empty() && m_changes.front().visibleAt <= now) {
        const Change& change = m_changes.front();
        if (change.entry.empty())
            m_visible.erase(change.id);
        else
            m_visible[change.id] = change.entry;
        m_changes.pop_front();
    }
    return m_visible;
}

} // namespace almondscale::standin
