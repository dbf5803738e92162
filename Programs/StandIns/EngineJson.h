#pragma once

#include "StandIns/AttemptRequest.h"
#include "StandIns/CacheEvent.h"
#include "StandIns/EngineOrder.h"
#include "StandIns/EngineState.h"
#include "StandIns/EngineStats.h"
#include "StandIns/KvCache.h"
#include "StandIns/LoadReport.h"

#include <optional>
#include <string>
#include <vector>

namespace almondscale::standin {

// Nothing if a member is missing or not allowed.
std::optional<AttemptRequest> attemptFromJson(const std::string&);
std::optional<EngineOrder> orderFromJson(const std::string&);

std::string loadJson(const LoadReport&, MonotonicTime now);
std::string stateJson(const EngineState&);
std::string cacheEventsJson(const std::vector<CacheEvent>&, std::uint64_t since);
std::string statsJson(const EngineStats&);

// A KV cache on the wire: a line of JSON, then bytes that stand for the cache.
std::string kvBytes(const KvCache&);
std::optional<KvCache> kvFromBytes(const std::string&);

} // namespace almondscale::standin
