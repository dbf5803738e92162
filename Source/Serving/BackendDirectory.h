#pragma once

#include "Core/Deadline.h"
#include "Core/StoreVersion.h"
#include "Serving/BackendChange.h"
#include "Serving/BackendLifetime.h"
#include "Serving/BackendTable.h"

#include <functional>
#include <map>
#include <vector>

namespace almondscale {

// Follows the registrations of backend servers and updates the BackendTable. Registrations that disappear
// during an outage of the store, or because it came back from an older copy, stay in use until running
// servers have had time to register again. A server that had left is not used because an older copy lists it.
class BackendDirectory {
public:
    explicit BackendDirectory(BackendTable&);

    // Whether a complete snapshot has been received.
    bool hasSnapshot() const { return m_hasSnapshot; }
    // Whether the store has been reachable for long enough that the registrations of terminated servers are
    // gone.
    bool isCurrent(MonotonicTime now) const;

    // All registrations as of a version; ignored if older than the current one.
    void onSnapshot(const std::vector<BackendChange>&, StoreVersion, MonotonicTime now);
    void onChanges(const std::vector<BackendChange>&, StoreVersion, MonotonicTime now);
    // The store did not answer or refused the request.
    void onReadFailed(MonotonicTime now);
    // The registrations were confirmed to be current, whether or not they changed.
    void onCurrent(MonotonicTime now);
    // Drops registrations whose time to reappear has passed, and adds those whose server turns out to run.
    void sweep(MonotonicTime now);

    // Called for each server that is dropped, has restarted, or whose address belongs to another server now.
    std::function<void(const BackendRecord&)> onRemoved;

private:
    void put(const BackendRecord&);
    // Adds a registration from a snapshot, which may be older than what is known of the server.
    void putListed(BackendRecord);
    void remove(const BackendId&, MonotonicTime now);
    void drop(const BackendId&);
    void noteDeparture(const BackendLifetime&, MonotonicTime now);

    BackendTable& m_table;
    std::map<BackendId, BackendRecord> m_records;
    // Registrations that disappeared around an outage of the store, with the time until which they are kept.
    std::map<BackendId, MonotonicTime> m_lapsed;
    // Servers whose registrations were removed lately.
    std::map<BackendLifetime, Deadline> m_departed;

    // A registration of a departed server that an older copy of the store lists.
    struct Withheld {
        BackendRecord record;
        Deadline until;
    };

    std::map<BackendId, Withheld> m_withheld;
    StoreVersion m_version;
    bool m_hasSnapshot = false;
    bool m_failing = false;
    MonotonicTime m_storeBackAt {};
};

} // namespace almondscale
