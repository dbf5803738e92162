#pragma once

#include "Authority/EngineOrder.h"
#include "Authority/EngineState.h"
#include "Authority/OrderAnswer.h"
#include "Core/Deadline.h"
#include "Core/EngineId.h"

#include <functional>
#include <optional>

namespace almondscale {

// The calls through which OrderRunner reaches the engine and the other hosts. Each blocks
// until it is done, at most until its deadline if it has one.
struct EngineOrderCallbacks {
    // Opens a connection and sends the order's request without its last byte. Returns true
    // only once the engine's side has acknowledged every byte sent so far, which an empty
    // send queue of the connection shows: bytes still in flight when the lease expires could
    // reach the engine at any later time. If it returns false, the connection is closed.
    std::function<bool(const EngineId&, const EngineOrder&, Deadline)> sendHead;

    // Sends the last byte of the opened request and reads the engine's answer.
    std::function<OrderAnswer(const EngineId&, Deadline)> sendLastByte;

    // Closes the opened request without completing it, if there is one.
    std::function<void(const EngineId&)> abandon;

    // Reads the engine's state. Returns std::nullopt if the engine does not answer.
    std::function<std::optional<EngineState>(const EngineId&, Deadline)> readState;

    // Announces to every host by heartbeat that the engine is closed to new work until the
    // deadline because of this order; `reopen` withdraws the announcement.
    std::function<void(const EngineId&, OrderNumber, Deadline)> announceClosing;
    std::function<void(const EngineId&, OrderNumber)> reopen;

    // Whether each host that may send work to the engine has acknowledged the closing or is no
    // longer a member.
    std::function<bool(const EngineId&, OrderNumber)> acknowledgedByAll;
};

} // namespace almondscale
