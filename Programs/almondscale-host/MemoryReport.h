#pragma once

#include "Core/Deadline.h"
#include "Forwarding/MemoryBudget.h"

#include <array>

namespace almondscale {

// Logs when the memory of a host is short and what was ended for it, at most once a second, and returns the
// freed memory to the operating system when the shortage is over.
class MemoryReport {
public:
    void update(const MemoryBudget&, std::size_t callers, MonotonicTime now);

private:
    Deadline m_nextLine;
    bool m_wasShort = false;
    std::array<std::uint64_t, memoryEndCount> m_logged {};
};

} // namespace almondscale
