#pragma once

#include "AttemptIds.h"
#include "Core/MonotonicTime.h"
#include "EngineDirectory.h"
#include "HostMetrics.h"
#include "PoolBudgets.h"
#include "RulesHolder.h"
#include "Settings/HostSettings.h"

#include <atomic>
#include <mutex>

namespace almondscale {

// What the threads that serve requests share.
struct HostContext {
    const HostSettings& settings;
    RulesHolder& rules;
    EngineDirectory& engines;
    HostMetrics& metrics;
    PoolBudgets& budgets;
    AttemptIds& ids;
    Clock clock;
};

} // namespace almondscale
