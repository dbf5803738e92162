#include "Authority/EngineOrder.h"

namespace almondscale {

const char* orderKindName(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Role:
        return "role";
    case OrderKind::LoadModel:
        return "load_model";
    case OrderKind::LoadAdapter:
        return "load_adapter";
    case OrderKind::LoadVersion:
        break;
    }
    return "load_version";
}

std::optional<OrderKind> parseOrderKind(const std::string& word)
{
    for (const auto kind :
        { OrderKind::Role, OrderKind::LoadModel, OrderKind::LoadAdapter, OrderKind::LoadVersion }) {
        if (word == orderKindName(kind))
            return kind;
    }
    return std::nullopt;
}

} // namespace almondscale
