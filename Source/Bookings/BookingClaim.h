#pragma once

#include "Bookings/BookingClaimResult.h"
#include "Bookings/BookingHolder.h"
#include "Bookings/BookingRequest.h"
#include "Bookings/BookingRow.h"
#include "Platform/TableCall.h"

#include <optional>
#include <string>

namespace almondscale {

// Claims a booking's key for one attempt, as a state machine over table calls: it records the
// row, then marks it as sent. The call may be sent only once the mark is confirmed to have been
// written by this attempt.
class BookingClaim {
public:
    BookingClaim(const BookingRequest&, const BookingHolder&, HolderLivenessCheck);

    // The table call to make next; std::nullopt once the claim is decided.
    std::optional<TableCall> nextCall() const;
    void onAnswer(const TableAnswer&);

    // Valid only once nextCall() returns std::nullopt.
    const BookingClaimResult& result() const { return m_result; }
    // Whether the table may hold a row of this attempt although the attempt sends nothing; such a
    // row must be released.
    bool mayHaveLeftRow() const { return m_mayHaveLeftRow; }
    // The complete state as text, for logging and for comparing states.
    std::string describe() const;

private:
    enum class Step {
        Record,
        ReadAfterRecord,
        MarkSent,
        ReadAfterMarkSent,
        Decided,
    };

    void onRecorded(const WriteResult&);
    void onReadAfterRecord(const TableAnswer&);
    void onMarkedSent(const WriteResult&);
    void onReadAfterMarkSent(const TableAnswer&);
    void resolveExistingRow(const TableRow&);
    void resolveUnfinishedRow(const TableRow&, const BookingRow&);
    void replaceRow(RowVersion);
    void retryOrGiveUp(Step);
    void decide(BookingClaimResult::Kind, ErrorKind = ErrorKind::None);
    BookingRow makeRow(BookingState) const;
    WriterId recordWriterId() const;
    WriterId markSentWriterId() const;

    BookingRequest m_request;
    BookingHolder m_holder;
    HolderLivenessCheck m_isHolderLive;
    Step m_step = Step::Record;
    // The row version that the next write expects.
    RowVersion m_version;
    int m_retriesLeft;
    bool m_mayHaveLeftRow = false;
    BookingClaimResult m_result;
};

} // namespace almondscale
