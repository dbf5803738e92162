#pragma once

#include "Admission/RequestId.h"
#include "Core/Deadline.h"
#include "Core/EngineId.h"
#include "Core/HostId.h"
#include "Dispatch/CrashStrikes.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace almondscale {

// A suspect request that waits for an engine of its own.
struct QuarantineEntry {
    HostId host;
    RequestId request;
    Fingerprint fingerprint;
    Deadline deadline = Deadline::never();
};

// A suspect that may run now, and the engine reserved for it. Send it once the engine reports no
// requests in flight.
struct QuarantineGrant {
    QuarantineEntry entry;
    EngineId engine;
};

// Limits of the quarantine.
struct QuarantineOptions {
    // Maximum number of concurrently running suspects, each on its own engine. At most half of
    // the engines are reserved, but at least one.
    std::size_t maxParallel = 1;
    // No grants for this long after the reserved engines change, so that all hosts of the data
    // centre learn of the change first.
    Nanoseconds settleTime = std::chrono::milliseconds(250);
};

// Schedules suspect requests onto reserved engines, by default one at a time, so that several bad
// requests do not crash several engines at once. One host runs it for each data centre and
// model. Not thread-safe.
class QuarantineScheduler {
public:
    explicit QuarantineScheduler(QuarantineOptions = {});

    // Chooses the engines that are reserved for suspects; none while there are no suspects. An
    // engine stays reserved while it is open. Returns whether the choice has changed and must
    // be sent to all hosts.
    bool reserveEngines(const std::vector<EngineId>& openEngines, bool anySuspect, MonotonicTime now);
    const std::vector<EngineId>& reservedEngines() const { return m_reserved; }

    // Returns false if the queue is full.
    bool enqueue(const QuarantineEntry&);
    void remove(const HostId&, const RequestId&);
    // Grants the waiting suspect with the earliest deadline, or none. Equal requests never run
    // concurrently. Refused requests are dropped without notice, since their hosts know the
    // verdict.
    std::optional<QuarantineGrant> grant(
        MonotonicTime now, const std::function<StrikeVerdict(Fingerprint)>& verdict);
    // Call when the run has ended, with or without success. Grants of dead hosts expire.
    void finish(const HostId&, const RequestId&);
    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t running() const { return m_running.size(); }

private:
    struct Running {
        QuarantineGrant grant;
        MonotonicTime expiresAt;
    };

    std::optional<EngineId> freeEngine() const;
    bool isRunning(Fingerprint) const;

    QuarantineOptions m_options;
    std::vector<EngineId> m_reserved;
    MonotonicTime m_pausedUntil {};
    std::vector<QuarantineEntry> m_waiting;
    std::vector<Running> m_running;
};

} // namespace almondscale
