#include "Bookings/BookingClaim.h"

namespace almondscale {

namespace {

    // Table calls per claim that may be repeated before it is refused as not recorded.
    constexpr int maxRetries = 4;

} // namespace

BookingClaim::BookingClaim(
    const BookingRequest& request, const BookingHolder& holder, HolderLivenessCheck isHolderLive)
    : m_request(request)
    , m_holder(holder)
    , m_isHolderLive(std::move(isHolderLive))
    , m_retriesLeft(maxRetries)
{
}

std::optional<TableCall> BookingClaim::nextCall() const
{
    TableCall call;
    call.key = bookingRowKey(m_request);
    switch (m_step) {
    case Step::Record:
        call.kind = TableCall::Kind::Write;
        call.value = encodeBookingRow(makeRow(BookingState::Recorded));
        call.expected = m_version;
        call.writer = recordWriterId();
        return call;
    case Step::MarkSent:
        call.kind = TableCall::Kind::Write;
        call.value = encodeBookingRow(makeRow(BookingState::Sent));
        call.expected = m_version;
        call.writer = markSentWriterId();
        return call;
    case Step::ReadAfterRecord:
    case Step::ReadAfterMarkSent:
        return call;
    case Step::Decided:
        break;
    }
    return std::nullopt;
}

void BookingClaim::onAnswer(const TableAnswer& answer)
{
    switch (m_step) {
    case Step::Record:
        return onRecorded(answer.written);
    case Step::ReadAfterRecord:
        return onReadAfterRecord(answer);
    case Step::MarkSent:
        return onMarkedSent(answer.written);
    case Step::ReadAfterMarkSent:
        return onReadAfterMarkSent(answer);
    case Step::Decided:
        break;
    }
}

void BookingClaim::onRecorded(const WriteResult& written)
{
    switch (written.outcome) {
    case WriteOutcome::Applied:
        m_mayHaveLeftRow = true;
        m_version = written.version;
        m_step = Step::MarkSent;
        break;
    case WriteOutcome::NotApplied:
        retryOrGiveUp(Step::Record);
        break;
    case WriteOutcome::Unknown:
        m_mayHaveLeftRow = true;
        m_step = Step::ReadAfterRecord;
        break;
    case WriteOutcome::Conflict:
        m_step = Step::ReadAfterRecord;
        break;
    }
}

void BookingClaim::onReadAfterRecord(const TableAnswer& answer)
{
    if (!answer.answered)
        return retryOrGiveUp(Step::ReadAfterRecord);
    if (!answer.row) {
        // A delayed insert can still arrive. Repeating the same insert resolves it: only one of them
        // can be applied.
        m_version = RowVersion(0);
        return retryOrGiveUp(Step::Record);
    }
    const auto& row = *answer.row;
    if (row.writer != recordWriterId())
        return resolveExistingRow(row);
    m_mayHaveLeftRow = true;
    m_version = row.version;
    m_step = Step::MarkSent;
}

void BookingClaim::onMarkedSent(const WriteResult& written)
{
    switch (written.outcome) {
    case WriteOutcome::Applied:
        decide(BookingClaimResult::Kind::Send);
        break;
    case WriteOutcome::NotApplied:
        retryOrGiveUp(Step::MarkSent);
        break;
    case WriteOutcome::Unknown:
    case WriteOutcome::Conflict:
        m_step = Step::ReadAfterMarkSent;
        break;
    }
}

void BookingClaim::onReadAfterMarkSent(const TableAnswer& answer)
{
    if (!answer.answered)
        return retryOrGiveUp(Step::ReadAfterMarkSent);
    if (!answer.row)
        return decide(BookingClaimResult::Kind::Refused, ErrorKind::BookingUnknown);
    const auto& row = *answer.row;
    if (row.writer == markSentWriterId())
        return decide(BookingClaimResult::Kind::Send);
    if (row.writer == recordWriterId())
        return retryOrGiveUp(Step::MarkSent);
    // Another attempt replaced the row before this one could mark it, so no row of this attempt is left.
    m_mayHaveLeftRow = false;
    resolveExistingRow(row);
}

void BookingClaim::resolveExistingRow(const TableRow& row)
{
    const auto booking = decodeBookingRow(row.value);
    if (!booking)
        return decide(BookingClaimResult::Kind::Refused, ErrorKind::BookingUnknown);
    if (booking->fingerprint != m_request.fingerprint)
        return decide(BookingClaimResult::Kind::Refused, ErrorKind::BadRequest);
    switch (booking->state) {
    case BookingState::Answered:
        m_result.answer = booking->answer;
        return decide(BookingClaimResult::Kind::Answered);
    case BookingState::Lost:
        return decide(BookingClaimResult::Kind::Refused, ErrorKind::BookingUnknown);
    case BookingState::Released:
        return replaceRow(row.version);
    case BookingState::Recorded:
    case BookingState::Sent:
        return resolveUnfinishedRow(row, *booking);
    }
}

// A recorded attempt whose host is gone may be replaced. If that host is alive after all, its mark
// fails because it expects a row version that has been overwritten.
void BookingClaim::resolveUnfinishedRow(const TableRow& row, const BookingRow& booking)
{
    if (m_isHolderLive(booking.holder.host, booking.holder.incarnation))
        return decide(BookingClaimResult::Kind::Refused, ErrorKind::BookingInProgress);
    if (booking.state == BookingState::Recorded)
        return replaceRow(row.version);
    decide(BookingClaimResult::Kind::Refused, ErrorKind::BookingUnknown);
}

void BookingClaim::replaceRow(RowVersion version)
{
    m_version = version;
    retryOrGiveUp(Step::Record);
}

void BookingClaim::retryOrGiveUp(Step step)
{
    if (m_retriesLeft == 0)
        return decide(BookingClaimResult::Kind::Refused, ErrorKind::BookingNotRecorded);
    --m_retriesLeft;
    m_step = step;
}

void BookingClaim::decide(BookingClaimResult::Kind kind, ErrorKind error)
{
    m_step = Step::Decided;
    m_result.kind = kind;
    m_result.error = error;
}

std::string BookingClaim::describe() const
{
    return "step=" + std::to_string(static_cast<int>(m_step))
        + " version=" + std::to_string(m_version.count()) + " retries_left=" + std::to_string(m_retriesLeft)
        + " left_row=" + (m_mayHaveLeftRow ? "maybe" : "no")
        + " start=" + std::to_string(static_cast<int>(m_result.kind)) + " error=" + errorName(m_result.error);
}

BookingRow BookingClaim::makeRow(BookingState state) const
{
    BookingRow row;
    row.state = state;
    row.holder = m_holder;
    row.fingerprint = m_request.fingerprint;
    return row;
}

WriterId BookingClaim::recordWriterId() const { return WriterId(m_holder.attempt.text() + "/record"); }

WriterId BookingClaim::markSentWriterId() const { return WriterId(m_holder.attempt.text() + "/sent"); }

} // namespace almondscale
