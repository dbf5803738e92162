#pragma once

#include "Core/Deadline.h"
#include "Core/StoreVersion.h"
#include "Serving/BackendChange.h"
#include "Serving/BackendLifetime.h"
#include "Serving/BackendTable.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace almondscale {

// Follows the registrations of backend servers and updates the BackendTable. Registrations that disappear
// during an outage of the store, or because it came back from an older copy, stay in use until running
// servers have had time to register again. A server that had left is not used because an older copy lists it.
// Of several registrations with one address, one is used: an address may be assigned again, and a
// registration may be of another writer, who is no server. The others are kept, and used again if the
// evidence changes.
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
    // Called when a server's registration is no longer used, since another one has its address.
    std::function<void(const BackendRecord& displaced, const BackendRecord& used)> onDisplaced;
    // Whether the manifest in force has the service.
    std::function<bool(const ServiceName&)> isServed = [](const ServiceName&) { return true; };

    // The services of the manifest have changed.
    void onServicesChanged();
    // Another server answered at the server's address.
    void noteAbsent(const BackendLifetime&);
    // Whether another registration has the server's address, so that repeated reports of the same are
    // evidence.
    bool isContested(const BackendId&) const;

private:
    struct Registration {
        BackendRecord record;
        // It is in the table.
        bool used = false;
        // What is known since the address has several registrations: it was written again, as a server does
        // at intervals; another server answered at its address.
        bool reports = false;
        bool absent = false;
    };

    void put(const BackendRecord&, bool reported = false);
    // Uses the registration of the address that is the server's by the evidence.
    void choose(const Address&);
    bool isBetter(const Registration&, const Registration&) const;
    void stopUsing(Registration&);
    void forget(const BackendId&, const Address&);
    // Adds a registration from a snapshot, which may be older than what is known of the server.
    void putListed(BackendRecord);
    void remove(const BackendId&, MonotonicTime now);
    void drop(const BackendId&);
    void noteDeparture(const BackendLifetime&, MonotonicTime now);

    BackendTable& m_table;
    std::map<BackendId, Registration> m_records;
    std::map<Address, std::set<BackendId>> m_byAddress;
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
