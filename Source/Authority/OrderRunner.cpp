#include "Authority/OrderRunner.h"

#include <utility>

namespace almondscale {

OrderRunner::OrderRunner(EngineId engine, OrderSequence sequence, EngineOrderCallbacks callbacks, Table table,
    Clock clock, Nanoseconds callTimeout)
    : m_engine(std::move(engine))
    , m_sequence(std::move(sequence))
    , m_callbacks(std::move(callbacks))
    , m_table(std::move(table))
    , m_clock(std::move(clock))
    , m_callTimeout(callTimeout)
{
}

bool OrderRunner::step(const Lease& lease)
{
    const auto action = m_sequence.next(m_clock(), lease);
    switch (action.kind) {
    case OrderAction::Kind::CallTable: {
        const auto answer = performCall(m_table, action.call);
        m_sequence.onTable(m_clock(), answer);
        return true;
    }
    case OrderAction::Kind::AnnounceClosing:
        m_callbacks.announceClosing(m_engine, action.order.order, action.closingEnds);
        return true;
    case OrderAction::Kind::CheckAcknowledged: {
        const bool all = m_callbacks.acknowledgedByAll(m_engine, action.order.order);
        m_sequence.onAcknowledged(m_clock(), all);
        return true;
    }
    case OrderAction::Kind::ReadState: {
        const auto state = m_callbacks.readState(m_engine, callDeadline());
        m_sequence.onState(m_clock(), state);
        return true;
    }
    case OrderAction::Kind::SendHead: {
        const bool taken = m_callbacks.sendHead(m_engine, action.order, callDeadline());
        m_sequence.onHeadSent(m_clock(), taken);
        return true;
    }
    case OrderAction::Kind::SendLastByte: {
        // Executing an order may take longer than the call timeout, so the closing deadline applies.
        const auto answer = m_callbacks.sendLastByte(m_engine, action.closingEnds);
        m_sequence.onOrderAnswer(m_clock(), answer);
        return true;
    }
    case OrderAction::Kind::Abandon:
        m_callbacks.abandon(m_engine);
        return true;
    case OrderAction::Kind::Reopen:
        m_callbacks.reopen(m_engine, action.order.order);
        return true;
    case OrderAction::Kind::Wait:
    case OrderAction::Kind::Done:
        break;
    }
    return false;
}

Deadline OrderRunner::callDeadline() const { return Deadline::after(m_clock(), m_callTimeout); }

} // namespace almondscale
