#include "Core/EngineRole.h"

namespace almondscale {

const char* engineRoleName(EngineRole role)
{
    switch (role) {
    case EngineRole::Prefill:
        return "prefill";
    case EngineRole::Decode:
        return "decode";
    case EngineRole::Mixed:
        break;
    }
    return "mixed";
}

std::optional<EngineRole> parseEngineRole(const std::string& name)
{
    for (const auto role : { EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode }) {
        if (name == engineRoleName(role))
            return role;
    }
    return std::nullopt;
}

} // namespace almondscale
