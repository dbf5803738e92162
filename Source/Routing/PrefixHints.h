#pragma once

#include "Core/MonotonicTime.h"
#include "Routing/CacheEvent.h"
#include "Routing/PrefixHash.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace almondscale {

// The prefixes that one engine has probably cached. The number of hints is bounded, and every hint
// expires.
class PrefixHints {
public:
    void add(PrefixHash, MonotonicTime expiresAt, MonotonicTime now);
    // After a gap in the sequence, existing hints expire at gapExpiry at the latest. Returns the
    // sequence number of the next event to request.
    std::uint64_t apply(const std::vector<CacheEvent>&, std::uint64_t next, MonotonicTime expiresAt,
        MonotonicTime gapExpiry, MonotonicTime now);
    bool holds(PrefixHash, MonotonicTime now) const;
    void clear();
    std::size_t size() const { return m_expiry.size(); }

private:
    void limitExpiry(MonotonicTime expiry);
    void evict(MonotonicTime now);

    std::unordered_map<PrefixHash, MonotonicTime> m_expiry;
    std::uint64_t m_next = 0;
};

} // namespace almondscale
