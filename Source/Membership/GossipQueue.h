#pragma once

#include "Core/HostId.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace almondscale {

// Identifies a gossip entry. An empty item key denotes the host's membership record.
struct GossipKey {
    HostId host;
    std::string item;

    friend bool operator<(const GossipKey& a, const GossipKey& b)
    {
        return a.host < b.host || (a.host == b.host && a.item < b.item);
    }
};

// Urgent entries are sent before routine ones.
enum class GossipPriority {
    Urgent,
    Routine,
};

// Selects the gossip entries to piggyback on a frame: urgent before routine, then those sent least often.
// Each entry is sent a bounded number of times.
class GossipQueue {
public:
    // Adds the entry, or resets its transmit count if it is already queued.
    void add(const GossipKey&, GossipPriority = GossipPriority::Urgent);
    void drop(const GossipKey&);

    // Passes entries to `take`, which returns whether the entry was added to the frame, until `full` returns
    // true. An entry is removed once it has been sent `limit` times.
    void offer(const std::function<std::size_t(const GossipKey&)>& limit,
        const std::function<bool(const GossipKey&)>& take, const std::function<bool()>& full);

private:
    struct Entry {
        GossipPriority priority = GossipPriority::Urgent;
        std::size_t transmits = 0;
    };

    std::map<GossipKey, Entry> m_entries;
};

} // namespace almondscale
