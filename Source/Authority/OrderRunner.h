#pragma once

#include "Authority/EngineOrderCallbacks.h"
#include "Authority/OrderSequence.h"
#include "Platform/Table.h"

namespace almondscale {

// Carries an order's actions out, one a call. One thread drives it.
class OrderRunner {
public:
    OrderRunner(EngineId, OrderSequence, EngineOrderCallbacks, Table, Clock, Nanoseconds callTimeout);

    // Does the next thing. False if nothing is due yet or the order has ended.
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
