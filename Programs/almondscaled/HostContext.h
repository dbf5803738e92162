#pragma once

#include "AttemptIds.h"
#include "BurnDuty.h"
#include "Core/MonotonicTime.h"
#include "CrashGuard.h"
#include "DemandCounters.h"
#include "EngineDirectory.h"
#include "HostMetrics.h"
#include "LimitsDuty.h"
#include "PoolBudgets.h"
#include "Quarantine.h"
#include "RulesHolder.h"
#include "Settings/HostSettings.h"

namespace almondscale {

// What the threads that serve requests share.
struct HostContext {
    const HostSettings& settings;
    RulesHolder& rules;
    EngineDirectory& engines;
    HostMetrics& metrics;
    PoolBudgets& budgets;
    AttemptIds& ids;
    CrashGuard& crashes;
    Quarantine& quarantine;
    LimitsDuty& limits;
    DemandCounters& demand;
    BurnDuty& burn;
    Clock clock;
};

} // namespace almondscale
