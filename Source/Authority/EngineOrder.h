#pragma once

#include "Core/FencingToken.h"
#include "Core/OrderNumber.h"

#include <optional>
#include <string>

namespace almondscale {

// What an order changes on an engine.
enum class OrderKind {
    Role,
    LoadModel,
    LoadAdapter,
    LoadVersion,
};

// The kind's name in the engine's HTTP interface, such as "load_model".
const char* orderKindName(OrderKind);
// Returns std::nullopt if no kind has this name.
std::optional<OrderKind> parseOrderKind(const std::string&);

// One order to an engine: a numbered, fenced request to change its role or what it has loaded.
struct EngineOrder {
    OrderNumber order;
    FencingToken fencing;
    OrderKind kind = OrderKind::Role;
    std::string value;
};

} // namespace almondscale
