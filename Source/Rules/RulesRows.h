#pragma once

#include "Rules/RulesChange.h"

#include <optional>
#include <string>

namespace almondscale {

// The content of the head row, which identifies the version in force.
struct RulesHead {
    RulesVersion version;
    WriterId change;
};

constexpr const char* rulesHeadKey = "rules/head";

// Returns the key of a change's row. It contains the change id, so that concurrent proposals for
// the same version never write the same row.
std::string rulesChangeKey(RulesVersion, const WriterId& change);

// The decoders return nothing for a malformed row value.
std::string encodeRulesHead(const RulesHead&);
std::optional<RulesHead> decodeRulesHead(const std::string&);
std::string encodeRulesChange(const RulesChange&);
std::optional<RulesChange> decodeRulesChange(const std::string&);

} // namespace almondscale
