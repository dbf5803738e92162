#pragma once

#include "Bookings/BookingClaimResult.h"
#include "Bookings/BookingHolder.h"
#include "Bookings/BookingRequest.h"
#include "Bookings/BookingRow.h"
#include "Platform/TableCall.h"

#include <optional>
#include <string>

namespace almondscale {

// Claims a booking's key for one attempt, as a state machine over calls of the
// table: the row is recorded, then marked as sent; only after the mark is known
// to be this attempt's own may the call be sent.
class BookingClaim {
public:
    BookingClaim(const BookingRequest&, const BookingHolder&, HolderLivenessCheck);

    // The call to make next; nothing when the claim is decided.
    std::optional<TableCall> nextCall() const;
    void onAnswer(const TableAnswer&);

    // Holds once there is no next call.
    const BookingClaimResult& result() const { return m_result; }
    // Whether a write of this attempt may stand in the table though the attempt sends nothing.
    bool mayHaveLeftRow() const { return m_mayHaveLeftRow; }
    // The whole state in a few words, for logs and to compare states.
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
    // The version that the next write expects.
    RowVersion m_version;
    int m_retriesLeft;
    bool m_mayHaveLeftRow = false;
    BookingClaimResult m_result;
};

} // namespace almondscale
