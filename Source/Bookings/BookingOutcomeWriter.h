#pragma once

#include "Bookings/BookingHolder.h"
#include "Bookings/BookingRequest.h"
#include "Bookings/BookingRow.h"
#include "Platform/TableCall.h"

#include <optional>
#include <string>

namespace almondscale {

// Writes how a claimed booking ended: answered, lost or released. Only the host
// that made the attempt closes it.
class BookingOutcomeWriter {
public:
    // The state is Answered, Lost or Released; the answer counts only for the first.
    BookingOutcomeWriter(const BookingRequest&, const BookingHolder&, BookingState, const BookingAnswer&);

    // The call to make next; nothing when the end is written or needs no writing.
    std::optional<TableCall> nextCall() const;
    void onAnswer(const TableAnswer&);
    // The whole state in a few words, for logs and to compare states.
    std::string describe() const;

private:
    void onRead(const TableAnswer&);

    std::string m_key;
    BookingRow m_row;
    // The version of this attempt's row; nothing until it was read.
    std::optional<RowVersion> m_version;
    bool m_done = false;
};

} // namespace almondscale
