#include "ClosingBook.h"

#include "Core/LogEvent.h"

#include <sstream>

namespace almondscale {

namespace {

    std::string announcement(OrderNumber order, Nanoseconds left)
    {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
        return std::to_string(order.count()) + " " + std::to_string(ms);
    }

    EngineId engineOf(const SharedItem& item, const char* prefix)
    {
        return EngineId(item.key.substr(std::string(prefix).size()));
    }

} // namespace

ClosingBook::ClosingBook(
    MembershipService& membership, EngineDirectory& engines, const CrashGuard& guard, Clock clock)
    : m_membership(membership)
    , m_engines(engines)
    , m_guard(guard)
    , m_clock(std::move(clock))
{
}

void ClosingBook::announce(const EngineId& engine, OrderNumber order, Deadline ends)
{
    const std::string value = announcement(order, ends.remaining(m_clock()));
    const std::error_code error
        = m_membership.publish(closingPrefix + engine.text(), value, ItemScope::Everywhere);
    LogEvent("engine_closing").with("engine", engine).with("order", order).with("shared", !error);
}

void ClosingBook::withdraw(const EngineId& engine)
{
    m_membership.retract(closingPrefix + engine.text());
    LogEvent("engine_reopened").with("engine", engine);
}

bool ClosingBook::acknowledgedByAll(const EngineId& engine, OrderNumber order) const
{
    std::set<HostId> acknowledged;
    for (const SharedItem& item : m_membership.items(acknowledgedPrefix + engine.text())) {
        if (item.value == std::to_string(order.count()))
            acknowledged.insert(item.host);
    }
    for (const Member& member : m_membership.members()) {
        if (member.live() && acknowledged.count(member.host) == 0)
            return false;
    }
    return true;
}

void ClosingBook::tick()
{
    const MonotonicTime now = m_clock();
    takeAnnouncements(now);
    std::set<EngineId> closing;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [engine, entry] : m_closings) {
            // A closing that its holder cannot finish ends by itself.
            if (!entry.ends.passed(now))
                closing.insert(engine);
        }
    }
    m_engines.setClosing(closing);
    acknowledge();
}

void ClosingBook::takeAnnouncements(MonotonicTime now)
{
    const auto items = m_membership.items(closingPrefix);
    const std::lock_guard lock(m_mutex);
    std::set<EngineId> announced;
    for (const SharedItem& item : items) {
        const EngineId engine = engineOf(item, closingPrefix);
        announced.insert(engine);
        Closing& entry = m_closings[engine];
        if (entry.item == item.version)
            continue;
        std::istringstream words(item.value);
        std::uint64_t order = 0;
        std::int64_t leftMs = 0;
        words >> order >> leftMs;
        entry = { OrderNumber(order), Deadline::after(now, std::chrono::milliseconds(leftMs)), item.version,
            false };
    }
    for (auto entry = m_closings.begin(); entry != m_closings.end();) {
        if (announced.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        m_membership.retract(acknowledgedPrefix + entry->first.text());
        entry = m_closings.erase(entry);
    }
}

// An attempt that this host has already started must have ended before it says that it sends no more.
void ClosingBook::acknowledge()
{
    const std::lock_guard lock(m_mutex);
    for (auto& [engine, entry] : m_closings) {
        if (entry.acknowledged || m_guard.runs(engine))
            continue;
        const std::string order = std::to_string(entry.order.count());
        const std::string key = acknowledgedPrefix + engine.text();
        entry.acknowledged = !m_membership.publish(key, order, ItemScope::Everywhere);
    }
}

} // namespace almondscale
