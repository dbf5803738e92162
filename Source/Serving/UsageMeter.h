#pragma once

#include "Serving/UsageBounds.h"
#include "Serving/UsageRecord.h"

#include <cstdint>
#include <vector>

namespace almondscale {

// Counts the requests that began to run on this host, by window and organisation.
class UsageMeter {
public:
    UsageMeter(HostId, Incarnation, UsageBounds);

    // Counts a request that began to run at a true time. If its window takes no more counts, the earliest
    // window that does gets it, so that no request stays uncounted.
    void onRunBegan(const Organisation&, WallTime began, WallTime now);
    // Closes windows that have ended, and forgets old ones.
    void advance(WallTime now);
    // A record is in the store as it is now.
    void noteStored(const UsageRecordId&);
    // The store has lost the latest writes.
    void onStoreRestored();

    // The records that changed after the version, with only those counts that changed; advances the version.
    // From version 0 on, records that are known to be in the store are left out.
    std::vector<UsageRecord> changesSince(std::uint64_t& version) const;

private:
    struct Count {
        std::uint32_t requests = 0;
        std::uint64_t changed = 0;
    };
    struct Record {
        std::map<Organisation, Count> counts;
        // The version at which the window was closed; 0 if it is open.
        std::uint64_t closed = 0;
        bool stored = false;
    };

    HostId m_host;
    Incarnation m_incarnation;
    UsageBounds m_bounds;
    std::map<UsageWindow, Record> m_records;
    std::uint64_t m_version = 0;
};

} // namespace almondscale
