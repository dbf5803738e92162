#pragma once

#include "Rules/RuleError.h"
#include "Rules/RulesChange.h"
#include "Rules/RulesMerge.h"

#include <optional>
#include <vector>

namespace almondscale {

// The outcome of applying an operator's change.
enum class RulesApplyOutcome {
    // The change is in force, with the text as proposed.
    Applied,
    // The change was merged with a concurrent change to other lines; both are in force.
    Merged,
    // The text equals the version in force; no version was created.
    Unchanged,
    // The change conflicts with a concurrent one that is already in force; nothing was changed.
    Clash,
    // The text, or its merge with concurrent changes, has errors; nothing was changed.
    Invalid,
    // The base version of the proposal is not in the history; nothing was changed.
    UnknownBase,
    // The change was not committed: the table failed, or the head changed on every attempt.
    NotApplied,
    // The response to a write was lost; the change may be in force now or take effect later.
    // Retrying with the same change id is safe and resolves the outcome.
    Unknown,
};

// Returns the name used in responses and logs, such as "not_applied".
const char* rulesApplyOutcomeName(RulesApplyOutcome);

struct RulesApplyResult {
    RulesApplyOutcome outcome = RulesApplyOutcome::NotApplied;
    // The version in force, as far as known.
    RulesVersion version;
    // The change in force that conflicts with the proposal, and the conflicting places.
    std::optional<RulesChange> winner;
    std::vector<RulesClash> clashes;
    std::vector<RuleError> errors;
    // The merged text to which the errors refer; empty if they refer to the proposal itself.
    std::string mergedText;
};

} // namespace almondscale
