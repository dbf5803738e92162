#include "Authority/EngineState.h"

namespace almondscale {

const std::string& EngineState::valueOf(OrderKind kind) const
{
    switch (kind) {
    case OrderKind::LoadModel:
        return model;
    case OrderKind::LoadAdapter:
        return adapter;
    case OrderKind::LoadVersion:
        return version;
    case OrderKind::Role:
        break;
    }
    return role;
}

} // namespace almondscale
