#pragma once

#include "Core/FencingNumber.h"
#include "Core/OrderNumber.h"

#include <optional>
#include <string>

namespace almondscale {

// What an order changes at an engine.
enum class OrderKind {
    Role,
    LoadModel,
    LoadAdapter,
    LoadVersion,
};

// The word for the kind in the engine's interface, such as "load_model".
const char* orderKindName(OrderKind);
std::optional<OrderKind> parseOrderKind(const std::string&);

// One order to an engine.
struct EngineOrder {
    OrderNumber order;
    FencingNumber fencing;
    OrderKind kind = OrderKind::Role;
    std::string value;
};

} // namespace almondscale
