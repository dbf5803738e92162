#pragma once

#include "Authority/EngineOrder.h"
#include "Authority/EngineState.h"
#include "Core/EngineId.h"

#include <optional>
#include <string>

namespace almondscale {

// The row of one engine: the last order meant for it, written before the order
// is sent, so that a successor knows what may be under way.
struct EngineRow {
    EngineOrder order;
    // The order was read back from the engine.
    bool finished = false;
};

// All rows of engines begin so.
constexpr const char* engineRowPrefix = "engine/";

std::string engineRowKey(const EngineId&);
std::string encodeEngineRow(const EngineRow&);
std::optional<EngineRow> decodeEngineRow(const std::string&);

// The order that a new holder gives again: the one in the row, if the engine does not show it.
std::optional<EngineOrder> unfinishedOrder(const EngineRow&, const EngineState&);

} // namespace almondscale
