#pragma once

#include "Core/Result.h"
#include "Platform/Table.h"
#include "Rules/RulesApplyResult.h"
#include "Rules/RulesRows.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace almondscale {

// An operator's change: the text, and the version it was made from.
struct RulesProposal {
    // 0 if there were no rules.
    RulesVersion base;
    // New for each change, and kept when the same change is applied again.
    WriterId change;
    std::string author;
    std::int64_t unixSeconds = 0;
    std::string text;
};

// The operators' rules in the platform's table. A change is in force from the
// moment that the head row names it; its own row is written before that.
class RulesStore {
public:
    explicit RulesStore(Table);

    RulesApplyResult apply(const RulesProposal&);

    // What the head names; nothing if there are no rules yet.
    Result<std::optional<RulesHead>> head() const;

    // The change in force if its version is higher than the known one.
    Result<std::optional<RulesChange>> newerThan(RulesVersion known) const;

    // The changes in force from the newest back to and with the oldest version, at most `limit` of them.
    Result<std::vector<RulesChange>> history(RulesVersion oldest, std::size_t limit) const;

private:
    Result<RulesChange> readChange(RulesVersion, const WriterId& change) const;

    Table m_table;
};

} // namespace almondscale
