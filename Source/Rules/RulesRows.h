#pragma once

#include "Rules/RulesChange.h"

#include <optional>
#include <string>

namespace almondscale {

// What the head row names: the one version that is in force.
struct RulesHead {
    RulesVersion version;
    WriterId change;
};

constexpr const char* rulesHeadKey = "rules/head";

// The row of one change; it bears the change's id, so that two operators who
// race for one version never write the same row.
std::string rulesChangeKey(RulesVersion, const WriterId& change);

std::string encodeRulesHead(const RulesHead&);
std::optional<RulesHead> decodeRulesHead(const std::string&);
std::string encodeRulesChange(const RulesChange&);
std::optional<RulesChange> decodeRulesChange(const std::string&);

} // namespace almondscale
