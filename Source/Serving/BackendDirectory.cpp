#include "Serving/BackendDirectory.h"

#include <iterator>
#include <set>
#include <tuple>
#include <utility>

namespace almondscale {

namespace {

    // Servers register again within 2 s of the store's return; the rest is for reading the registrations.
    constexpr Nanoseconds reregistrationTime = std::chrono::milliseconds(2300);
    // The store comes back from a copy that is some seconds old.
    constexpr Nanoseconds maxCopyAge = std::chrono::seconds(60);
    // The platform removes the registration of a server that sends no heartbeat within this time.
    constexpr Nanoseconds registrationLifetime = std::chrono::seconds(15);
    constexpr std::size_t maxDepartures = 4096;

} // namespace

BackendDirectory::BackendDirectory(BackendTable& table)
    : m_table(table)
{
}

void BackendDirectory::onSnapshot(
    const std::vector<BackendChange>& entries, StoreVersion version, MonotonicTime now)
{
    if (version < m_version)
        return;
    const bool restored = m_hasSnapshot && version.era != m_version.era;
    m_version = version;
    onCurrent(now);
    if (restored)
        m_storeBackAt = now;
    std::set<BackendId> listed;
    std::vector<BackendId> removed;
    for (const auto& entry : entries) {
        if (entry.record)
            listed.insert(entry.id);
    }
    for (const auto& known : m_records) {
        if (listed.count(known.first) == 0)
            removed.push_back(known.first);
    }
    const auto withheld = std::exchange(m_withheld, {});
    for (const auto& entry : entries) {
        if (!entry.record)
            continue;
        const auto before = withheld.find(entry.id);
        if (before != withheld.end() && lifetimeOf(before->second.record) == lifetimeOf(*entry.record))
            m_withheld.insert(*before);
        else if (restored && m_departed.count(lifetimeOf(*entry.record)) > 0)
            m_withheld[entry.id] = { *entry.record, Deadline::after(now, registrationLifetime) };
        else
            putListed(*entry.record);
    }
    for (const auto& id : removed)
        remove(id, now);
    m_hasSnapshot = true;
}

void BackendDirectory::onChanges(
    const std::vector<BackendChange>& changes, StoreVersion version, MonotonicTime now)
{
    if (version < m_version)
        return;
    m_version = version;
    onCurrent(now);
    for (const auto& change : changes) {
        m_withheld.erase(change.id);
        if (change.record)
            put(*change.record, true);
        else
            remove(change.id, now);
    }
}

void BackendDirectory::onReadFailed(MonotonicTime now)
{
    m_failing = true;
    m_storeBackAt = now;
}

void BackendDirectory::onCurrent(MonotonicTime now)
{
    if (!m_failing)
        return;
    m_failing = false;
    m_storeBackAt = now;
}

bool BackendDirectory::isCurrent(MonotonicTime now) const
{
    return m_hasSnapshot && !m_failing
        && (m_storeBackAt == MonotonicTime() || now - m_storeBackAt >= reregistrationTime);
}

void BackendDirectory::sweep(MonotonicTime now)
{
    std::vector<BackendId> over;
    for (const auto& entry : m_lapsed) {
        if (entry.second <= now)
            over.push_back(entry.first);
    }
    for (const auto& id : over)
        drop(id);
    for (auto departed = m_departed.begin(); departed != m_departed.end();)
        departed = departed->second.passed(now) ? m_departed.erase(departed) : std::next(departed);
    for (auto withheld = m_withheld.begin(); withheld != m_withheld.end();) {
        if (!withheld->second.until.passed(now)) {
            ++withheld;
            continue;
        }
        put(withheld->second.record);
        withheld = m_withheld.erase(withheld);
    }
}

void BackendDirectory::putListed(BackendRecord record)
{
    const auto known = m_records.find(record.id);
    // Servers do not return from draining, but older copies of the store do.
    if (known != m_records.end() && lifetimeOf(known->second.record) == lifetimeOf(record))
        record.draining = record.draining || known->second.record.draining;
    put(record);
}

void BackendDirectory::noteDeparture(const BackendLifetime& server, MonotonicTime now)
{
    if (m_departed.size() >= maxDepartures)
        m_departed.erase(m_departed.begin());
    m_departed[server] = Deadline::after(now, maxCopyAge);
}

void BackendDirectory::put(const BackendRecord& record, bool reported)
{
    m_lapsed.erase(record.id);
    m_departed.erase(lifetimeOf(record));
    const auto before = m_records.find(record.id);
    if (before != m_records.end()) {
        const auto known = before->second.record;
        const bool moved = known.address != record.address;
        if (lifetimeOf(known) != lifetimeOf(record)) {
            if (before->second.used && onRemoved)
                onRemoved(known);
            before->second = Registration { {}, before->second.used };
        } else if (reported && !moved) {
            before->second.reports = isContested(record.id);
        }
        if (moved)
            forget(record.id, known.address);
    }
    m_records[record.id].record = record;
    m_byAddress[record.address].insert(record.id);
    choose(record.address);
}

bool BackendDirectory::isContested(const BackendId& id) const
{
    const auto known = m_records.find(id);
    return known != m_records.end() && m_byAddress.at(known->second.record.address).size() > 1;
}

bool BackendDirectory::isBetter(const Registration& a, const Registration& b) const
{
    const auto rank = [this](const Registration& each) {
        return std::tuple(isServed(each.record.service), !each.absent, each.reports, each.record.startedAtMs,
            each.record.id);
    };
    return rank(b) < rank(a);
}

void BackendDirectory::choose(const Address& address)
{
    const auto claims = m_byAddress.find(address);
    if (claims == m_byAddress.end())
        return;
    Registration* best = nullptr;
    for (const auto& id : claims->second) {
        auto& each = m_records.at(id);
        if (claims->second.size() == 1)
            each.reports = each.absent = false;
        if (!best || isBetter(each, *best))
            best = &each;
    }
    for (const auto& id : claims->second) {
        auto& each = m_records.at(id);
        if (&each == best)
            continue;
        if (each.used && onDisplaced)
            onDisplaced(each.record, best->record);
        stopUsing(each);
    }
    best->used = true;
    m_table.put(best->record);
}

void BackendDirectory::stopUsing(Registration& registration)
{
    if (!std::exchange(registration.used, false))
        return;
    m_table.remove(registration.record.id);
    if (onRemoved)
        onRemoved(registration.record);
}

void BackendDirectory::forget(const BackendId& id, const Address& address)
{
    const auto claims = m_byAddress.find(address);
    claims->second.erase(id);
    if (claims->second.empty())
        m_byAddress.erase(claims);
    else
        choose(address);
}

void BackendDirectory::onServicesChanged()
{
    for (const auto& entry : m_byAddress) {
        if (entry.second.size() > 1)
            choose(entry.first);
    }
}

void BackendDirectory::noteAbsent(const BackendLifetime& server)
{
    const auto known = m_records.find(server.backend);
    if (!isContested(server.backend) || lifetimeOf(known->second.record) != server)
        return;
    known->second.absent = true;
    choose(known->second.record.address);
}

void BackendDirectory::remove(const BackendId& id, MonotonicTime now)
{
    const auto known = m_records.find(id);
    if (known == m_records.end())
        return;
    const bool storeWasUnavailable
        = m_storeBackAt != MonotonicTime() && now - m_storeBackAt < reregistrationTime;
    if (storeWasUnavailable) {
        m_lapsed.emplace(id, m_storeBackAt + reregistrationTime);
        return;
    }
    noteDeparture(lifetimeOf(known->second.record), now);
    drop(id);
}

void BackendDirectory::drop(const BackendId& id)
{
    m_lapsed.erase(id);
    const auto found = m_records.find(id);
    if (found == m_records.end())
        return;
    stopUsing(found->second);
    const auto address = found->second.record.address;
    m_records.erase(found);
    forget(id, address);
}

} // namespace almondscale
