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

// A request under suspicion that waits for an engine to itself.
struct QuarantineEntry {
    HostId host;
    RequestId request;
    Fingerprint fingerprint;
    Deadline deadline = Deadline::never();
};

// A suspect that may run now, and the engine that it has to itself. It is sent
// once the engine reports nothing in flight.
struct QuarantineGrant {
    QuarantineEntry entry;
    EngineId engine;
};

// Bounds of a quarantine lane.
struct QuarantineOptions {
    // At most so many suspects run at the same time, each with an engine to itself;
    // never on more than half of the engines, unless there is only one.
    std::size_t maxParallel = 1;
    // After a change of the kept engines nothing is granted for so long; all hosts
    // of the data centre must hear of the change within it.
    Nanoseconds settleTime = std::chrono::milliseconds(250);
};

// Kept by one host of each data centre and model: lets suspects run one by one,
// so that several bad requests do not take several engines at once. Not thread-safe.
class QuarantineScheduler {
public:
    explicit QuarantineScheduler(QuarantineOptions = {});

    // Chooses the engines that are kept free of other work: none while nothing is
    // under suspicion. An engine stays kept for as long as it is open. Returns
    // whether the choice has changed, so that all hosts have to be told.
    bool reserveEngines(const std::vector<EngineId>& openEngines, bool anySuspect, MonotonicTime now);
    const std::vector<EngineId>& reservedEngines() const { return m_reserved; }

    // Returns whether there was room.
    bool enqueue(const QuarantineEntry&);
    void remove(const HostId&, const RequestId&);
    // The suspect that may run now, the one with the earliest deadline first.
    // Equal requests never run side by side. Refused ones are dropped, as their
    // hosts know the verdict.
    std::optional<QuarantineGrant> grant(
        MonotonicTime now, const std::function<StrikeVerdict(Fingerprint)>& verdict);
    // The suspect has ended, in whatever way; a grant whose host died expires.
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
