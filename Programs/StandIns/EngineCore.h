#pragma once

#include "Core/MonotonicTime.h"
#include "StandIns/AttemptProgress.h"
#include "StandIns/AttemptRequest.h"
#include "StandIns/CacheEvent.h"
#include "StandIns/EngineFaults.h"
#include "StandIns/EngineOrder.h"
#include "StandIns/EngineSettings.h"
#include "StandIns/EngineState.h"
#include "StandIns/EngineStats.h"
#include "StandIns/KvCache.h"
#include "StandIns/LoadReport.h"
#include "StandIns/OrderOutcome.h"
#include "StandIns/SubmitOutcome.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondscale::standin {

// A stand-in for a model engine: batches attempts in steps of its clock, with a
// prefix cache in limited memory. It has no threads; advance() carries out what
// has become due.
class EngineCore {
public:
    EngineCore(const EngineSettings&, Clock, std::uint64_t firstBoot);
    ~EngineCore();

    // Carries out all steps up to now.
    void advance();
    // The next instant at which advance() has something to do, if any.
    std::optional<MonotonicTime> nextDue() const;

    SubmitOutcome submit(const AttemptRequest&, const std::optional<KvCache>& imported = std::nullopt);
    // Nothing if the attempt is unknown.
    std::optional<AttemptProgress> progress(const AttemptId&, TokenCount from) const;
    // Whether progress() has something new: a token from this one on, or the end.
    bool hasProgress(const AttemptId&, TokenCount from) const;
    // Whether the attempt was known.
    bool cancel(const AttemptId&);
    // The cache that a prefill left, if it is still there.
    std::optional<KvCache> exportKv(const std::string& handle);

    // An accepted order is carried out when state() no longer says closing.
    OrderOutcome order(const EngineOrder&);

    // The latest sample of the load, up to the load lag old.
    LoadReport loadReport();
    // The visible events with a higher sequence.
    std::vector<CacheEvent> cacheEvents(std::uint64_t since) const;
    EngineState state() const;
    const EngineStats& stats() const;

    EngineFaults& faults();
    // Loses all state; the engine is down until the setting's time has passed.
    void crash();
    bool down() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale::standin
