#pragma once

#include "Core/Deadline.h"
#include "Serving/AnsweredParts.h"
#include "Serving/BadParts.h"
#include "Serving/CrashRecord.h"
#include "Serving/RequestSubjects.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondscale {

// How a request may run, given the servers that terminated while running its subjects.
enum class Suspicion {
    None,
    // Only on servers that run no other suspect, and one request of the subject at a time.
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
    // Parts are not isolated before they are refused, since many requests may have them.
    BadPartLimits badParts = {};
    // A part that was answered this long before a termination is known to be sound.
    Nanoseconds soundTime = std::chrono::minutes(10);
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
    // Several times as many as a prompt can have parts: 16 KB of header fields name 2,800.
    std::size_t maxRecords = 8192;
    // In all records together; five crashes of such a prompt fit.
    std::size_t maxEnds = 16384;
    std::size_t maxEndsPerRecord = 8;
    std::size_t maxContentsPerEnd = 8;
};

// How a request may run, and because of which subject.
struct Verdict {
    Suspicion suspicion = Suspicion::None;
    CrashSubject subject;
};

// Finds what crashes every server it runs on, the content of a request or a part of prompts, across all
// hosts, and tells it from what ran on the same server by coincidence. Terminations are consecutive if each
// run was sent knowing of the terminations before it, so that servers which terminate at the same time count
// once; a completed run clears its subjects. Hosts exchange records and merge them, so that they converge.
// Not thread-safe.
class CrashRecords {
public:
    explicit CrashRecords(CrashRecordOptions = {});

    Verdict verdict(const RequestSubjects&, MonotonicTime now) const;
    Suspicion suspicion(const CrashSubject&, MonotonicTime now) const;
    // Whether the record must outlive the hosts, because further terminations may have the subject refused.
    // Parts are suspects from the given number of consecutive terminations.
    bool isSuspect(const CrashSubject&, MonotonicTime now, int partEnds) const;
    // The time until which a refused subject is refused.
    Deadline refusedUntil(const CrashSubject&) const;
    const CrashRecord* find(const CrashSubject&) const;
    // The number of consecutive terminations, see above.
    int consecutiveEnds(const CrashSubject&) const;
    // The parts that requests are refused for, each with the parts that it cannot be told from. Found again
    // if records changed.
    const std::vector<BadParts>& badParts() const;
    const BadParts* findBad(const CrashSubject& part) const;
    // The terminations that count against the subject.
    std::vector<ServerEnd> countedEnds(const CrashSubject&) const;
    std::vector<CrashSubject> subjects() const;

    // The steps of the next run of each subject, the content first; see ServerEnd::step.
    std::vector<int> nextSteps(const RequestSubjects&) const;
    int nextStep(const CrashSubject&) const;
    // A server terminated while running a request. Ignored if it had terminated before the request was sent.
    void noteEnd(const RequestSubjects&, const ServerEnd&, const std::vector<int>& steps);
    void noteEnd(const CrashSubject&, const ServerEnd&);
    // A request, or a prefill for it, ran to completion.
    void noteCompleted(const RequestSubjects&, MonotonicTime now, bool prefill = false);
    void noteCompleted(const CrashSubject&, bool prefill = false);
    // A request with these parts was being answered for longer than a bad part lets a server live.
    void noteAnswered(const RequestSubjects&, MonotonicTime now);
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

    Entry& entry(const CrashSubject&);
    void recordChange(Entry&);
    bool add(Entry&, const ServerEnd&);
    static int countSteps(const std::vector<ServerEnd>&, EndEvidence minEvidence);
    std::vector<ServerEnd> validEnds(const CrashRecord&) const;
    // Whether the termination was neither withdrawn nor followed by an answer to a request with the subject.
    bool isValid(const CrashRecord&, const ServerEnd&) const;
    // The servers that bad parts crashed; their terminations do not count against contents.
    const std::set<BackendLifetime>& explainedServers() const;
    // Whether the counted terminations have a content refused, apart from the time.
    bool isBadContent(const std::vector<ServerEnd>& counted) const;
    // Whether a request with the part was answered shortly before the first valid termination.
    bool isKnownSound(const CrashRecord&) const;
    // Adopts the time of an answer if it tells more than the one in the record; returns whether it does.
    bool adoptAnswer(CrashRecord&, std::optional<MonotonicTime> answeredAt) const;
    std::optional<MonotonicTime> lastAnsweredHere(const CrashSubject&) const;
    // Withdraws the terminations for which the predicate holds.
    void withdraw(Entry&, const std::function<bool(const ServerEnd&)>&);
    void evictOne();
    void erase(const CrashSubject&);
    // The place of an entry in m_byWeight.
    static std::pair<int, std::uint64_t> weightOf(const Entry&);

    CrashRecordOptions m_options;
    std::unordered_map<CrashSubject, Entry> m_entries;
    // Subjects by the version of their last change.
    std::map<std::uint64_t, CrashSubject> m_byChange;
    // Entries by significance, the first to be evicted first: by consecutive terminations and last change.
    std::set<std::pair<int, std::uint64_t>> m_byWeight;
    // Subjects with enough consecutive terminations to be refused for.
    std::set<CrashSubject> m_candidates;
    // The earliest known termination time of each server in the records.
    std::map<BackendLifetime, MonotonicTime> m_firstEndedAt;
    AnsweredParts m_answered;
    std::uint64_t m_version = 0;
    // The number of terminations in all records.
    std::size_t m_endCount = 0;
    // The bad parts, and all servers that they crashed, as of a version of the records.
    mutable std::vector<BadParts> m_badParts;
    mutable std::set<BackendLifetime> m_explained;
    mutable std::uint64_t m_judgedVersion = 0;
};

} // namespace almondscale
