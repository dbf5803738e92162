#pragma once

#include "Forwarding/MemoryUse.h"

#include <utility>
#include <vector>

namespace almondscale {

// What to do about the memory in use.
struct MemoryDecision {
    // Memory is short: of the large messages, only the granted ones are read further.
    bool isShort = false;
    std::vector<std::uint64_t> granted;
    std::vector<std::pair<std::uint64_t, MemoryEnd>> ended;
};

// Decides which messages a host stops reading, and which it ends, when its memory runs short.
class MemoryPolicy {
public:
    explicit MemoryPolicy(std::size_t size)
        : m_size(size)
    {
    }

    std::size_t size() const { return m_size; }
    // Above this, only messages that can be received completely are read further.
    std::size_t shortMark() const { return m_size / 4 * 3; }
    // Large messages are not read beyond this; the rest is reserved for small messages.
    std::size_t largeMark() const { return m_size / 8 * 7; }
    // Small messages are not read beyond this; the rest covers heads that grow when they are parsed.
    std::size_t smallMark() const { return m_size / 16 * 15; }

    bool isShort(std::size_t used) const { return used > shortMark(); }
    // Whether a message of that size is small. Twice the usual limit of a head and what its fields need when
    // parsed.
    static bool isSmall(std::size_t bytes) { return bytes <= (std::size_t(48) << 10); }
    // Whether a message of that size may use the last of the memory. Ordinary requests of some hundred bytes
    // do.
    static bool isTiny(std::size_t bytes) { return bytes <= (std::size_t(4) << 10); }
    // Whether a message that holds the bytes may grow by more of them.
    bool mayGrow(std::size_t bytes, std::size_t more, bool granted, std::size_t used) const;

    MemoryDecision decide(const std::vector<MemoryUse>& uses, std::size_t used, MonotonicTime now) const;

private:
    std::size_t m_size;
};

} // namespace almondscale
