#pragma once

#include <optional>
#include <string>

namespace almondscale {

// The phases of a request that an engine processes.
enum class EngineRole {
    Mixed,
    Prefill,
    Decode,
};

const char* engineRoleName(EngineRole);
std::optional<EngineRole> parseEngineRole(const std::string&);

} // namespace almondscale
