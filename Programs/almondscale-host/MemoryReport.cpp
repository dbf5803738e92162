#include "MemoryReport.h"

#include "Core/LogEvent.h"

#include <malloc.h>

namespace almondscale {

namespace {

    constexpr Nanoseconds lineInterval = std::chrono::seconds(1);

} // namespace

void MemoryReport::update(const MemoryBudget& memory, std::size_t callers, MonotonicTime now)
{
    const bool isShort = memory.isShort();
    if (m_wasShort && !isShort)
        malloc_trim(0);
    bool changed = isShort != m_wasShort;
    m_wasShort = isShort;
    std::array<std::uint64_t, memoryEndCount> ended {};
    for (std::size_t i = 0; i < ended.size(); ++i)
        ended.at(i) = memory.ended(static_cast<MemoryEnd>(i));
    changed = changed || ended != m_logged;
    if (!changed || !m_nextLine.passed(now))
        return;
    m_nextLine = Deadline::after(now, lineInterval);
    LogEvent line(isShort ? "memory_short" : "memory", isShort ? LogLevel::Warning : LogLevel::Info);
    line.with("held", memory.heldBytes()).with("budget", memory.size()).with("callers", callers);
    for (std::size_t i = 0; i < ended.size(); ++i)
        line.with(memoryEndName(static_cast<MemoryEnd>(i)), ended.at(i) - m_logged.at(i));
    m_logged = ended;
}

} // namespace almondscale
