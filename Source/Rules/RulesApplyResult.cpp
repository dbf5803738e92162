#include "Rules/RulesApplyResult.h"

namespace almondscale {

const char* rulesApplyOutcomeName(RulesApplyOutcome outcome)
{
    switch (outcome) {
    case RulesApplyOutcome::Applied:
        return "applied";
    case RulesApplyOutcome::Merged:
        return "merged";
    case RulesApplyOutcome::Unchanged:
        return "unchanged";
    case RulesApplyOutcome::Clash:
        return "clash";
    case RulesApplyOutcome::Invalid:
        return "invalid";
    case RulesApplyOutcome::UnknownBase:
        return "unknown_base";
    case RulesApplyOutcome::NotApplied:
        return "not_applied";
    case RulesApplyOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace almondscale
