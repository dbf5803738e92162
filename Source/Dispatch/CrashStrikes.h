#pragma once

#include "Dispatch/StrikeRecord.h"

#include <chrono>
#include <memory>
#include <vector>

namespace almondscale {

// What may be done with a request, after the crashes that it took part in.
enum class StrikeVerdict {
    Normal,
    // It runs only alone.
    Suspect,
    // A crash has just become known. For a short time other hosts may not know that
    // engines are kept free, or still have to say what else ran; the request waits.
    Deciding,
    // It is to blame and runs nowhere.
    Refused,
};

// Bounds of what a host remembers about crashes.
struct CrashStrikeOptions {
    Nanoseconds settleTime = std::chrono::milliseconds(250);
    // Counted from the last crash or the last repetition of a refused request.
    Nanoseconds lifetime = std::chrono::hours(1);
    std::size_t maxRecords = 4096;
};

// The strikes that this host knows of. Hosts exchange the changes at once and
// everything on heartbeats. Not thread-safe.
class CrashStrikes {
public:
    explicit CrashStrikes(CrashStrikeOptions = {});
    ~CrashStrikes();
    CrashStrikes(CrashStrikes&&) noexcept;
    CrashStrikes& operator=(CrashStrikes&&) noexcept;

    StrikeVerdict verdict(Fingerprint, MonotonicTime now);
    // The engine crashed while these requests of this host ran on it together.
    void onCrash(const EngineInstance&, const std::vector<Fingerprint>&, MonotonicTime now);
    // The engine crashed while the request had it to itself.
    void onCrashAlone(const EngineInstance&, Fingerprint, MonotonicTime now);
    // The request ran to its end, having the engine to itself.
    void onCompletedAlone(Fingerprint, MonotonicTime now);

    // Whether any request is under suspicion, so that engines have to be kept for it.
    bool anySuspect(MonotonicTime now) const;

    // Takes in a record of another host, with its expiry on this host's clock.
    void merge(const StrikeRecord&, MonotonicTime now);
    // The records that changed at this host since the last call, to be sent to all hosts at once.
    std::vector<StrikeRecord> takeChanges();
    // All records, for heartbeats.
    std::vector<StrikeRecord> records(MonotonicTime now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
