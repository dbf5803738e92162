#pragma once

#include "Core/Deadline.h"
#include "Serving/CrashRecord.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace almondscale {

// What may be done with a request, after the servers that ended under its content.
enum class Suspicion {
    None,
    // It runs only where no other suspect does, one request of its content at a time.
    Isolate,
    // It runs nowhere.
    Refused,
};

// Bounds of what a host remembers of servers that ended.
struct CrashRecordOptions {
    // Ends from which a request is suspected, and ends in a row from which it is refused.
    int suspectAfter = 2;
    int refuseAfter = 3;
    // Refused although no run was apart, where the store could not keep suspects apart.
    int refuseUnisolatedAfter = 4;
    // After this one more run is tried; the record is forgotten later.
    Nanoseconds refusalTime = std::chrono::minutes(10);
    Nanoseconds lifetime = std::chrono::hours(1);
    // The registration of a server that has ended is gone after this.
    Nanoseconds deregistrationTime = std::chrono::seconds(10);
    // A server that answers what is sent so soon after its end has not ended; later, a
    // server that started anew under its id may answer.
    Nanoseconds aliveWithin = std::chrono::seconds(1);
    // Hosts hear of an end within this time. What they send there until then breaks too,
    // and the instants that they tell each other are late by up to it.
    Nanoseconds propagationDelay = std::chrono::milliseconds(250);
    std::size_t maxRecords = 4096;
    std::size_t maxEndsPerRecord = 8;
};

// Tells requests that end each server that runs them from those that ran beside them,
// by their content, at all hosts. It answers a request that its caller sends again and
// again. Ends count in a row if each run was sent in the knowledge of the ends before it,
// so that servers that end together count once; a run that comes to its end clears its
// content. Hosts exchange the records, whose union they agree on. Not thread-safe.
class CrashRecords {
public:
    explicit CrashRecords(CrashRecordOptions = {});

    Suspicion suspicion(Fingerprint, MonotonicTime now) const;
    // Until when a refused content is refused.
    Deadline refusedUntil(Fingerprint) const;
    const CrashRecord* find(Fingerprint) const;
    // Ends that count, each of a run that was sent in the knowledge of those before.
    int consecutiveEnds(Fingerprint) const;

    // The step of the next run of the content.
    int nextStep(Fingerprint) const;
    // A server ended under a request. Not counted if it had ended before the request was sent.
    void noteEnd(Fingerprint, const ServerEnd&);
    // A request of the content ran to its end, or a prefill for it did.
    void noteCompleted(Fingerprint, bool prefill = false);
    // The server answered a request that was sent at the given time.
    void noteAlive(const BackendLifetime&, MonotonicTime sentAt);
    // The registration of a server that was not leaving is gone.
    void noteDeregistered(const BackendLifetime&, MonotonicTime now);
    // Takes in what another host or the store knows.
    void merge(const CrashRecord&);
    // Forgets what is old, and withdraws ends of servers whose registration has stayed.
    void sweep(MonotonicTime now, const std::function<bool(const BackendLifetime&)>& registered);

    // Rises with each change of a record.
    std::uint64_t version() const { return m_version; }
    // Records that changed after the version, in the order of their changes and `most` at
    // most; sets the version to that of the last one.
    std::vector<CrashRecord> changesSince(std::uint64_t& version, std::size_t most) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        CrashRecord record;
        std::uint64_t changed = 0;
        // Ends in a row at the last change.
        int consecutive = 0;
    };

    Entry& entry(Fingerprint);
    void touch(Entry&);
    bool add(Entry&, const ServerEnd&);
    bool counts(const ServerEnd&) const;
    int consecutiveEnds(const Entry&, EndEvidence least) const;
    // Withdraws the ends for which the condition holds.
    void withdraw(Entry&, const std::function<bool(const ServerEnd&)>&);
    void evictOne();
    void erase(Fingerprint);

    CrashRecordOptions m_options;
    std::unordered_map<Fingerprint, Entry> m_entries;
    // The contents in the order of their last changes.
    std::map<std::uint64_t, Fingerprint> m_byChange;
    // When servers of the records were first known to have ended.
    std::map<BackendLifetime, MonotonicTime> m_firstEndedAt;
    std::uint64_t m_version = 0;
};

} // namespace almondscale
