#pragma once

#include "Rules/RuleError.h"
#include "Rules/RulesChange.h"
#include "Rules/RulesMerge.h"

#include <optional>
#include <vector>

namespace almondscale {

// What became of an operator's change.
enum class RulesApplyOutcome {
    // The text is in force as it was written.
    Applied,
    // Another change came first; both are in force, as they touch different lines.
    Merged,
    // The text equals what is in force; no version was made.
    Unchanged,
    // Another change came first and clashes; nothing was changed.
    Clash,
    // The text, or its merge with the changes that came first, holds errors; nothing was changed.
    Invalid,
    // The version that the operator began from is not in the history; nothing was changed.
    UnknownBase,
    // The table did not take the change.
    NotApplied,
    // The table's answer was lost; the change may be in force now or later.
    // Applying it again under the same change id is safe and tells.
    Unknown,
};

// The word for the outcome in answers and logs, such as "not_applied".
const char* rulesApplyOutcomeName(RulesApplyOutcome);

// The answer to an operator's change.
struct RulesApplyResult {
    RulesApplyOutcome outcome = RulesApplyOutcome::NotApplied;
    // The version in force, as far as the table told.
    RulesVersion version;
    // The change that came first and clashes, and where.
    std::optional<RulesChange> winner;
    std::vector<RulesClash> clashes;
    std::vector<RuleError> errors;
    // The merge that the errors are in, if the text by itself holds none.
    std::string mergedText;
};

} // namespace almondscale
