#pragma once

#include "Authority/EngineRow.h"
#include "Authority/EngineState.h"
#include "Authority/Lease.h"
#include "Authority/OrderAction.h"
#include "Authority/OrderAnswer.h"
#include "Core/EngineId.h"

#include <string>

namespace almondscale {

// The times of one order.
struct OrderSettings {
    // The hosts take the engine back into use so long after the order began, whatever became of it.
    Nanoseconds closingTime = std::chrono::seconds(60);
    // The last byte is not sent later than so long before that instant.
    Nanoseconds closingMargin = std::chrono::seconds(10);
    Nanoseconds retryInterval = std::chrono::milliseconds(200);
};

// One order to one engine, as a state machine: record the intent, announce the
// closing, wait for the hosts and until the engine is empty, order, read back,
// reopen. Every step is taken only while the lease allows orders.
class OrderSequence {
public:
    OrderSequence(EngineId, OrderKind, std::string value, OrderSettings);

    // The next thing to do, which must be done at once; asked again only after it was answered.
    OrderAction next(MonotonicTime now, const Lease&);

    void onTable(MonotonicTime now, const TableAnswer&);
    void onAcknowledged(MonotonicTime now, bool all);
    // Nothing if the engine did not answer.
    void onState(MonotonicTime now, const std::optional<EngineState>&);
    void onHeadSent(MonotonicTime now, bool taken);
    void onOrderAnswer(MonotonicTime now, OrderAnswer);

    OrderResult result() const { return m_step == Step::Done ? m_result : OrderResult::None; }
    const EngineOrder& order() const { return m_row.order; }

    // The whole state in a few words, for logs and to compare states.
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
    // The row as it stands in the table.
    std::optional<EngineRow> m_stored;
    RowVersion m_version;
    Step m_step = Step::ReadRow;
    bool m_announced = false;
    std::optional<Deadline> m_closingEnds;
    Deadline m_nextAt;
    OrderResult m_result = OrderResult::None;
};

} // namespace almondscale
