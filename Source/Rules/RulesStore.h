#pragma once

#include "Core/Result.h"
#include "Platform/Table.h"
#include "Rules/RulesApplyResult.h"
#include "Rules/RulesRows.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace almondscale {

// An operator's proposed rules text and the version on which it is based.
struct RulesProposal {
    // 0 if there are no rules yet.
    RulesVersion base;
    // Unique for each change; a retry uses the same id.
    WriterId change;
    std::string author;
    std::int64_t unixSeconds = 0;
    std::string text;
};

// Stores the versions of the rules in the platform's table. The row of a change is written first;
// the change takes effect when the head row is set to it.
class RulesStore {
public:
    explicit RulesStore(Table);

    // Merges the proposal with concurrent changes and commits it.
    RulesApplyResult apply(const RulesProposal&);

    // Returns nothing if there are no rules yet, ErrorKind::RulesInvalid if the row cannot be decoded.
    Result<std::optional<RulesHead>> head() const;

    // Returns the change in force if its version is higher than `known`.
    Result<std::optional<RulesChange>> newerThan(RulesVersion known) const;

    // Returns the changes from the newest down to and including version `oldest`, at most `limit`.
    Result<std::vector<RulesChange>> history(RulesVersion oldest, std::size_t limit) const;

private:
    Result<RulesChange> readChange(RulesVersion, const WriterId& change) const;

    Table m_table;
};

} // namespace almondscale
