#pragma once

#include "Dispatch/StrikeRecord.h"

#include <chrono>
#include <memory>
#include <vector>

namespace almondscale {

// Whether and how a request may run, given the engine crashes during its runs.
enum class StrikeVerdict {
    Normal,
    // It may run only alone on an engine.
    Suspect,
    // A crash became known within the settle time. Other hosts may not know the reserved engines
    // yet, or may still report requests that shared the engine; the request waits.
    Deciding,
    // It caused a crash and must not run.
    Refused,
};

// Limits of the crash history of a host.
struct CrashStrikeOptions {
    Nanoseconds settleTime = std::chrono::milliseconds(250);
    // Since the last crash, or the last repetition of a refused request.
    Nanoseconds lifetime = std::chrono::hours(1);
    std::size_t maxRecords = 4096;
};

// The strikes (engine crashes during a run of a request) that this host knows. Hosts exchange
// changes immediately and all records with heartbeats. Not thread-safe.
class CrashStrikes {
public:
    explicit CrashStrikes(CrashStrikeOptions = {});
    ~CrashStrikes();
    CrashStrikes(CrashStrikes&&) noexcept;
    CrashStrikes& operator=(CrashStrikes&&) noexcept;

    StrikeVerdict verdict(Fingerprint, MonotonicTime now);
    // The engine crashed while these requests of this host ran on it together.
    void onCrash(const EngineInstance&, const std::vector<Fingerprint>&, MonotonicTime now);
    // The engine crashed while it ran no other request.
    void onCrashAlone(const EngineInstance&, Fingerprint, MonotonicTime now);
    // The request completed on an engine that ran no other request.
    void onCompletedAlone(Fingerprint, MonotonicTime now);

    // Whether any request is suspect or undecided, so that engines must be reserved.
    bool anySuspect(MonotonicTime now) const;

    // Merges a record of another host. Its expiry must be on this host's clock.
    void merge(const StrikeRecord&, MonotonicTime now);
    // Records changed by this host since the last call, to be sent to all hosts immediately.
    std::vector<StrikeRecord> takeChanges();
    // All unexpired records, for heartbeats.
    std::vector<StrikeRecord> records(MonotonicTime now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
