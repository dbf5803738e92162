#pragma once

#include <optional>
#include <string>

namespace almondscale {

// What part of the work on a request an engine takes.
enum class EngineRole {
    Mixed,
    Prefill,
    Decode,
};

const char* engineRoleName(EngineRole);
std::optional<EngineRole> parseEngineRole(const std::string&);

} // namespace almondscale
