#pragma once

#include "Authority/EngineOrder.h"
#include "Authority/EngineState.h"
#include "Authority/OrderAnswer.h"
#include "Core/Deadline.h"
#include "Core/EngineId.h"

#include <functional>
#include <optional>

namespace almondscale {

// The calls by which an order reaches an engine and the hosts. Each waits for its
// end, at most until the deadline.
struct EngineOrderCallbacks {
    // Opens a connection and sends the order's request but for its last byte. True only
    // once the engine's side has taken every byte sent so far, as the connection's
    // send queue shows by being empty: bytes that are still under way when the
    // lease lapses could reach the engine at any later time. If false, nothing stays open.
    std::function<bool(const EngineId&, const EngineOrder&, Deadline)> sendHead;

    // Sends the last byte of the opened request and reads the answer.
    std::function<OrderAnswer(const EngineId&, Deadline)> sendLastByte;

    // Closes the opened request, if there is one.
    std::function<void(const EngineId&)> abandon;

    // The engine's exact state; nothing if it does not answer.
    std::function<std::optional<EngineState>(const EngineId&, Deadline)> readState;

    // Tells every host by heartbeat that the engine takes no new work for this order
    // until the instant, and that it does again.
    std::function<void(const EngineId&, OrderNumber, Deadline)> announceClosing;
    std::function<void(const EngineId&, OrderNumber)> reopen;

    // Whether every host that may send work to the engine has acknowledged the closing, or its
    // membership ended.
    std::function<bool(const EngineId&, OrderNumber)> acknowledgedByAll;
};

} // namespace almondscale
