#include "Core/EngineRole.h"

namespace almondscale {

const char* engineRoleWord(EngineRole role)
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

std::optional<EngineRole> parseEngineRole(const std::string& word)
{
    for (const auto role : { EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode }) {
        if (word == engineRoleWord(role))
            return role;
    }
    return std::nullopt;
}

} // namespace almondscale
