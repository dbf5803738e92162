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

// How a request may run, given the servers that terminated while running its content.
enum class Suspicion {
    None,
    // Only on servers that run no other suspect, and one request of the content at a time.
    Isolate,
    // Not at all.
    Refuse,
};

// Thresholds and limits of CrashRecords.
struct CrashRecordOptions {
    // Number of terminations from which a request is a suspect, and of consecutive ones from which it is
    // refused.
    int suspectAfter = 2;
    int refuseAfter = 3;
    // Consecutive terminations from which a request is refused although it never ran isolated, e.g. because
    // the store was not available to isolate suspects.
    int refuseUnisolatedAfter = 4;
    // One more run is allowed after the refusal time; the record is dropped after its lifetime.
    Nanoseconds refusalTime = std::chrono::minutes(10);
    Nanoseconds lifetime = std::chrono::hours(1);
    // The registration of a terminated server disappears within this time.
    Nanoseconds deregistrationTime = std::chrono::seconds(10);
    // A server that responds to a request sent this soon after its supposed termination is alive. Later
    // responses may come from a restarted server with the same id.
    Nanoseconds aliveWithin = std::chrono::seconds(1);
    // Hosts learn of a termination within this time. Requests sent to the server in the meantime fail too,
    // and times reported by other hosts are late by up to this much.
    Nanoseconds propagationDelay = std::chrono::milliseconds(250);
    std::size_t maxRecords = 4096;
    std::size_t maxEndsPerRecord = 8;
};

// Finds requests that crash every server they run on, by their content and across all hosts, and tells them
// from requests that ran on the same server by coincidence. A caller may repeat such a request again and
// again. Terminations are consecutive if each run was sent knowing of the terminations before it, so that
// servers which terminate at the same time count once; a completed run clears its content. Hosts exchange
// records and merge them, so that they converge. Not thread-safe.
class CrashRecords {
public:
    explicit CrashRecords(CrashRecordOptions = {});

    Suspicion suspicion(Fingerprint, MonotonicTime now) const;
    // The time until which a refused content is refused.
    Deadline refusedUntil(Fingerprint) const;
    const CrashRecord* find(Fingerprint) const;
    // The number of consecutive terminations, see above.
    int consecutiveEnds(Fingerprint) const;

    // The step of the next run of the content, see ServerEnd::step.
    int nextStep(Fingerprint) const;
    // A server terminated while running a request. Ignored if it had terminated before the request was sent.
    void noteEnd(Fingerprint, const ServerEnd&);
    // A request of the content, or a prefill for it, ran to completion.
    void noteCompleted(Fingerprint, bool prefill = false);
    // The server responded to a request sent at the given time.
    void noteAlive(const BackendLifetime&, MonotonicTime sentAt);
    // The registration of a server that was not shutting down disappeared.
    void noteDeregistered(const BackendLifetime&, MonotonicTime now);
    // Merges a record from another host or from the store.
    void merge(const CrashRecord&);
    // Drops expired records and withdraws terminations of servers that stayed registered.
    void sweep(MonotonicTime now, const std::function<bool(const BackendLifetime&)>& registered);

    // Increases with each change of a record.
    std::uint64_t version() const { return m_version; }
    // At most `maxCount` records that changed after the version, in the order of their changes. Advances the
    // version to that of the last one returned.
    std::vector<CrashRecord> changesSince(std::uint64_t& version, std::size_t maxCount) const;
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        CrashRecord record;
        std::uint64_t changed = 0;
        // Consecutive terminations as of the last change.
        int consecutive = 0;
    };

    Entry& entry(Fingerprint);
    void recordChange(Entry&);
    bool add(Entry&, const ServerEnd&);
    bool isCounted(const ServerEnd&) const;
    int consecutiveEnds(const Entry&, EndEvidence minEvidence) const;
    // Withdraws the terminations for which the predicate holds.
    void withdraw(Entry&, const std::function<bool(const ServerEnd&)>&);
    void evictOne();
    void erase(Fingerprint);

    CrashRecordOptions m_options;
    std::unordered_map<Fingerprint, Entry> m_entries;
    // Contents by the version of their last change.
    std::map<std::uint64_t, Fingerprint> m_byChange;
    // The earliest known termination time of each server in the records.
    std::map<BackendLifetime, MonotonicTime> m_firstEndedAt;
    std::uint64_t m_version = 0;
};

} // namespace almondscale
