#include "Authority/OrderSequence.h"

#include <algorithm>
#include <utility>

namespace almondscale {

OrderSequence::OrderSequence(EngineId engine, OrderKind kind, std::string value, OrderSettings settings)
    : m_engine(std::move(engine))
    , m_settings(settings)
{
    m_row.order.kind = kind;
    m_row.order.value = std::move(value);
}

OrderAction OrderSequence::next(MonotonicTime now, const Lease& lease)
{
    if (!m_closingEnds)
        m_closingEnds = Deadline::after(now, m_settings.closingTime);
    if (mustStop(now, lease)) {
        const bool lost = !lease.mayIssueOrders(now) || lease.fencing() != m_row.order.fencing;
        stop(lost && m_step != Step::ReadBack ? OrderResult::LostAuthority : OrderResult::Expired);
    }
    // The hosts use the engine again after the closing deadline. If the row could not be marked as
    // finished by then, the next order overwrites it.
    if ((m_step == Step::WriteFinished || m_step == Step::ReadRowAgain) && m_closingEnds->passed(now))
        m_step = Step::Done;
    if (!m_nextAt.passed(now) && m_step != Step::Abandon && m_step != Step::Reopen)
        return action(OrderAction::Kind::Wait);
    switch (m_step) {
    case Step::ReadRow:
    case Step::ReadRowAgain:
        return readRow();
    case Step::WriteIntent:
        prepareIntent(lease);
        return m_step == Step::Done ? action(OrderAction::Kind::Done) : writeRow("intent");
    case Step::Announce:
        m_announced = true;
        m_step = Step::AwaitHosts;
        return action(OrderAction::Kind::AnnounceClosing);
    case Step::AwaitHosts:
        return action(OrderAction::Kind::CheckAcknowledged);
    case Step::AwaitEmpty:
    case Step::ReadBack:
        return action(OrderAction::Kind::ReadState);
    case Step::SendHead:
        return action(OrderAction::Kind::SendHead);
    case Step::SendLastByte:
        return action(OrderAction::Kind::SendLastByte);
    case Step::WriteFinished:
        return writeRow("finished");
    case Step::Abandon:
        m_step = m_announced ? Step::Reopen : Step::Done;
        return action(OrderAction::Kind::Abandon);
    case Step::Reopen:
        m_step = m_result == OrderResult::CarriedOut ? Step::WriteFinished : Step::Done;
        return action(OrderAction::Kind::Reopen);
    case Step::Done:
        break;
    }
    return action(OrderAction::Kind::Done);
}

OrderAction OrderSequence::action(OrderAction::Kind kind) const
{
    OrderAction result;
    result.kind = kind;
    result.order = m_row.order;
    if (m_closingEnds)
        result.closingEnds = *m_closingEnds;
    return result;
}

OrderAction OrderSequence::readRow() const
{
    auto result = action(OrderAction::Kind::CallTable);
    result.call.key = engineRowKey(m_engine);
    return result;
}

OrderAction OrderSequence::writeRow(const char* what) const
{
    auto result = action(OrderAction::Kind::CallTable);
    result.call.kind = TableCall::Kind::Write;
    result.call.key = engineRowKey(m_engine);
    result.call.value = encodeEngineRow(m_row);
    result.call.expected = m_version;
    result.call.writer = WriterId("order-" + std::to_string(m_row.order.fencing.count()) + "-"
        + std::to_string(m_row.order.order.count()) + "-" + what);
    return result;
}

// After the last byte may have been sent, only reading the engine's state remains, which does not
// require the lease.
bool OrderSequence::mustStop(MonotonicTime now, const Lease& lease) const
{
    if (m_step >= Step::Abandon)
        return false;
    if (m_step == Step::ReadBack)
        return m_closingEnds->passed(now);
    // A lease that was lost and acquired again has a new fencing number.
    if (m_step >= Step::Announce && lease.fencing() != m_row.order.fencing)
        return true;
    const bool tooLate = now + m_settings.closingMargin >= m_closingEnds->at();
    return tooLate || !lease.mayIssueOrders(now);
}

void OrderSequence::stop(OrderResult result)
{
    m_result = result;
    m_nextAt = Deadline();
    if (m_step == Step::SendLastByte)
        m_step = Step::Abandon;
    else
        m_step = m_announced ? Step::Reopen : Step::Done;
}

// A row with a higher fencing number was written by a later holder.
void OrderSequence::prepareIntent(const Lease& lease)
{
    const auto last = m_stored ? m_stored->order : EngineOrder {};
    if (last.fencing > lease.fencing())
        return stop(OrderResult::LostAuthority);
    m_row.order.fencing = lease.fencing();
    m_row.order.order = last.order + OrderNumber(1);
    m_row.finished = false;
}

void OrderSequence::onTable(MonotonicTime now, const TableAnswer& answer)
{
    if (m_step == Step::ReadRow || m_step == Step::ReadRowAgain) {
        if (!answer.answered)
            return scheduleRetry(now);
        return onRowRead(answer);
    }
    if (m_step != Step::WriteIntent && m_step != Step::WriteFinished)
        return;
    if (answer.written.outcome == WriteOutcome::NotApplied)
        scheduleRetry(now);
    onRowWritten(answer.written);
}

void OrderSequence::onRowRead(const TableAnswer& answer)
{
    m_version = answer.row ? answer.row->version : RowVersion(0);
    m_stored = answer.row ? decodeEngineRow(answer.row->value) : std::nullopt;
    const bool own = m_stored && m_stored->order.order == m_row.order.order
        && m_stored->order.fencing == m_row.order.fencing;
    if (m_step == Step::ReadRowAgain) {
        // A row of another order, or one already marked as finished, is not overwritten.
        m_step = own && !m_stored->finished ? Step::WriteFinished : Step::Done;
        return;
    }
    m_step = own ? Step::Announce : Step::WriteIntent;
}

void OrderSequence::onRowWritten(const WriteResult& written)
{
    const bool finishing = m_step == Step::WriteFinished;
    if (written.outcome != WriteOutcome::Applied) {
        m_step = finishing ? Step::ReadRowAgain : Step::ReadRow;
        return;
    }
    m_version = written.version;
    m_step = finishing ? Step::Done : Step::Announce;
}

void OrderSequence::onAcknowledged(MonotonicTime now, bool all)
{
    if (m_step != Step::AwaitHosts)
        return;
    if (all)
        m_step = Step::AwaitEmpty;
    else
        scheduleRetry(now);
}

void OrderSequence::onState(MonotonicTime now, const std::optional<EngineState>& state)
{
    if (m_step != Step::AwaitEmpty && m_step != Step::ReadBack)
        return;
    if (!state)
        return scheduleRetry(now);
    if (reportsOrder(*state)) {
        m_result = OrderResult::CarriedOut;
        m_row.finished = true;
        m_step = Step::Reopen;
        return;
    }
    // An engine that crashed while executing the order no longer reports it, so the order is sent
    // again.
    m_step = Step::AwaitEmpty;
    if (state->inFlight == 0)
        m_step = Step::SendHead;
    else
        scheduleRetry(now);
}

void OrderSequence::onHeadSent(MonotonicTime now, bool taken)
{
    if (m_step != Step::SendHead)
        return;
    if (taken)
        m_step = Step::SendLastByte;
    else
        scheduleRetry(now);
}

void OrderSequence::onOrderAnswer(MonotonicTime now, OrderAnswer answer)
{
    if (m_step != Step::SendLastByte)
        return;
    if (answer == OrderAnswer::StaleFencing) {
        m_step = Step::ReadBack;
        return stop(OrderResult::LostAuthority);
    }
    m_step = Step::ReadBack;
    if (answer != OrderAnswer::CarriedOut)
        scheduleRetry(now);
}

bool OrderSequence::reportsOrder(const EngineState& state) const
{
    return state.order == m_row.order.order && state.fencing <= m_row.order.fencing
        && state.valueOf(m_row.order.kind) == m_row.order.value;
}

void OrderSequence::scheduleRetry(MonotonicTime now)
{
    m_nextAt = Deadline::after(now, m_settings.retryInterval);
}

std::string OrderSequence::describe() const
{
    return "step=" + std::to_string(static_cast<int>(m_step))
        + " order=" + std::to_string(m_row.order.order.count()) + " fencing="
        + std::to_string(m_row.order.fencing.count()) + " finished=" + (m_row.finished ? "1" : "0")
        + " version=" + std::to_string(m_version.count()) + " closing_ends="
        + (m_closingEnds ? std::to_string(m_closingEnds->at().time_since_epoch().count()) : "none")
        + " next_at=" + std::to_string(m_nextAt.at().time_since_epoch().count())
        + " announced=" + (m_announced ? "1" : "0") + " end=" + orderResultName(m_result);
}

} // namespace almondscale
