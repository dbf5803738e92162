#pragma once

#include "Core/AttemptId.h"
#include "StandIns/AttemptStats.h"
#include "StandIns/OrderRecord.h"

#include <cstdint>
#include <map>
#include <vector>

namespace almondscale::standin {

// What an engine has done over all its starts, for tests.
struct EngineStats {
    std::map<AttemptId, AttemptStats> attempts;
    std::vector<OrderRecord> orders;
    std::int64_t crashes = 0;
};

} // namespace almondscale::standin
