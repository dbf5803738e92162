#pragma once

#include "Authority/EngineRow.h"
#include "Authority/EngineState.h"
#include "Authority/Lease.h"
#include "Authority/OrderAction.h"
#include "Authority/OrderAnswer.h"
#include "Core/EngineId.h"

#include <string>

namespace almondscale {

// Durations and intervals of one order.
struct OrderSettings {
    // How long after the start of the order the hosts send work to the engine again, whatever the
    // order's result.
    Nanoseconds closingTime = std::chrono::seconds(60);
    // How long before that instant an order that was not sent yet is given up.
    Nanoseconds closingMargin = std::chrono::seconds(10);
    Nanoseconds retryInterval = std::chrono::milliseconds(200);
};

// One order to one engine, as a state machine that performs no I/O: write the intent to
// the engine's row, announce the closing, wait until all hosts have acknowledged it and
// the engine has no requests in flight, send the order, read the engine's state back,
// reopen. Until the last byte is sent, each step is taken only while the lease allows
// orders.
class OrderSequence {
public:
    OrderSequence(EngineId, OrderKind, std::string value, OrderSettings);

    // The next action, which must be performed at once and reported before the next call.
    OrderAction next(MonotonicTime now, const Lease&);

    void onTable(MonotonicTime now, const TableAnswer&);
    void onAcknowledged(MonotonicTime now, bool all);
    // std::nullopt if the engine did not answer.
    void onState(MonotonicTime now, const std::optional<EngineState>&);
    void onHeadSent(MonotonicTime now, bool taken);
    void onOrderAnswer(MonotonicTime now, OrderAnswer);

    OrderResult result() const { return m_step == Step::Done ? m_result : OrderResult::None; }
    const EngineOrder& order() const { return m_row.order; }

    // The state as key=value text, for logs and to compare states in model checking.
    std::string describe() const;

private:
    enum class Step {
        ReadRow,
        WriteIntent,
        Announce,
        AwaitHosts,
        AwaitEmpty,
        SendHead,
        SendLastByte,
        ReadBack,
        Abandon,
        Reopen,
        WriteFinished,
        ReadRowAgain,
        Done,
    };

    OrderAction action(OrderAction::Kind) const;
    OrderAction readRow() const;
    OrderAction writeRow(const char* what) const;
    bool mustStop(MonotonicTime now, const Lease&) const;
    void stop(OrderResult);
    void prepareIntent(const Lease&);
    void onRowRead(const TableAnswer&);
    void onRowWritten(const WriteResult&);
    bool reportsOrder(const EngineState&) const;
    void scheduleRetry(MonotonicTime now);

    EngineId m_engine;
    OrderSettings m_settings;
    EngineRow m_row;
    // The row as last read from the table.
    std::optional<EngineRow> m_stored;
    RowVersion m_version;
    Step m_step = Step::ReadRow;
    bool m_announced = false;
    std::optional<Deadline> m_closingEnds;
    Deadline m_nextAt;
    OrderResult m_result = OrderResult::None;
};

} // namespace almondscale
