#include "Bookings/BookingOutcomeWriter.h"

namespace almondscale {

BookingOutcomeWriter::BookingOutcomeWriter(const BookingRequest& request, const BookingHolder& holder,
    BookingState state, const BookingAnswer& answer)
    : m_key(bookingRowKey(request))
{
    m_row.state = state;
    m_row.holder = holder;
    m_row.fingerprint = request.fingerprint;
    m_row.answer = answer;
}

std::optional<TableCall> BookingOutcomeWriter::nextCall() const
{
    if (m_done)
        return std::nullopt;
    TableCall call;
    call.key = m_key;
    if (!m_version)
        return call;
    call.kind = TableCall::Kind::Write;
    call.value = encodeBookingRow(m_row);
    call.expected = *m_version;
    call.writer = WriterId(m_row.holder.attempt.text() + "/" + bookingStateWord(m_row.state));
    return call;
}

void BookingOutcomeWriter::onAnswer(const TableAnswer& answer)
{
    if (!m_version)
        return onRead(answer);
    m_done = answer.written.outcome == WriteOutcome::Applied;
    // Read the row again: it shows whether the write was applied or another write came first.
    if (!m_done)
        m_version.reset();
}

std::string BookingOutcomeWriter::describe() const
{
    return std::string("state=") + bookingStateWord(m_row.state) + " version="
        + (m_version ? std::to_string(m_version->count()) : "unread") + " done=" + (m_done ? "yes" : "no");
}

void BookingOutcomeWriter::onRead(const TableAnswer& answer)
{
    if (!answer.answered)
        return;
    if (!answer.row && m_row.state == BookingState::Released) {
        // A delayed record of this attempt may still arrive. Inserting the released row first makes it
        // conflict.
        m_version = RowVersion(0);
        return;
    }
    const auto row = answer.row ? decodeBookingRow(answer.row->value) : std::nullopt;
    const bool own = row && row->holder.attempt == m_row.holder.attempt;
    const bool open = own && (row->state == BookingState::Recorded || row->state == BookingState::Sent);
    if (open)
        m_version = answer.row->version;
    else
        m_done = true;
}

} // namespace almondscale
