#pragma once

#include "Authority/EngineOrderCallbacks.h"
#include "Authority/OrderSequence.h"
#include "Platform/Table.h"

namespace almondscale {

// Performs the actions of one order, one for each call of `step`. Not thread-safe.
class OrderRunner {
public:
    OrderRunner(EngineId, OrderSequence, EngineOrderCallbacks, Table, Clock, Nanoseconds callTimeout);

    // Performs the next action and blocks until it is done. Returns false if nothing is due yet or
    // the order has ended.
    bool step(const Lease&);

    OrderResult result() const { return m_sequence.result(); }
    const OrderSequence& sequence() const { return m_sequence; }

private:
    Deadline callDeadline() const;

    EngineId m_engine;
    OrderSequence m_sequence;
    EngineOrderCallbacks m_callbacks;
    Table m_table;
    Clock m_clock;
    Nanoseconds m_callTimeout;
};

} // namespace almondscale
