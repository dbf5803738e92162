#pragma once

#include "Authority/EngineOrder.h"
#include "Authority/EngineState.h"
#include "Core/EngineId.h"

#include <optional>
#include <string>

namespace almondscale {

// The stored row of one engine: the last order intended for it. It is written before
// the order is sent, so that the next lease holder knows which order may be in flight.
struct EngineRow {
    EngineOrder order;
    // The engine's state confirmed that the order was executed.
    bool finished = false;
};

// The key prefix of all engine rows.
constexpr const char* engineRowPrefix = "engine/";

std::string engineRowKey(const EngineId&);
std::string encodeEngineRow(const EngineRow&);
// Returns std::nullopt if the text is not a valid engine row.
std::optional<EngineRow> decodeEngineRow(const std::string&);

// The order that a new lease holder must reissue: the one in the row, unless the engine's state
// already has its value. Returns std::nullopt if there is none.
std::optional<EngineOrder> unfinishedOrder(const EngineRow&, const EngineState&);

} // namespace almondscale
