#include "Report/ObjectiveLookup.h"

namespace almondscale {

namespace {

    constexpr const char* anyName = "*";

} // namespace

std::optional<ObjectiveRule> findObjective(
    const std::vector<ObjectiveRule>& rules, const ModelName& model, const Organisation& organisation)
{
    std::optional<ObjectiveRule> found;
    int foundRank = 0;
    for (const auto& rule : rules) {
        const bool ownModel = rule.model == model;
        const bool ownOrganisation = rule.organisation == organisation;
        if ((!ownModel && rule.model.text() != anyName)
            || (!ownOrganisation && rule.organisation.text() != anyName))
            continue;
        const int rank = 1 + (ownOrganisation ? 2 : 0) + (ownModel ? 1 : 0);
        if (rank <= foundRank)
            continue;
        found = rule;
        foundRank = rank;
    }
    return found;
}

} // namespace almondscale
