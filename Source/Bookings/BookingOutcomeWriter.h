#pragma once

#include "Bookings/BookingHolder.h"
#include "Bookings/BookingRequest.h"
#include "Bookings/BookingRow.h"
#include "Platform/TableCall.h"

#include <optional>
#include <string>

namespace almondscale {

// Writes the outcome of a claimed booking to its row: answered, lost or released. Only the host
// that made the attempt may write its outcome.
class BookingOutcomeWriter {
public:
    // The state must be Answered, Lost or Released; the answer is used only with Answered.
    BookingOutcomeWriter(const BookingRequest&, const BookingHolder&, BookingState, const BookingAnswer&);

    // The table call to make next; std::nullopt once the outcome is written or no write is needed.
    std::optional<TableCall> nextCall() const;
    void onAnswer(const TableAnswer&);
    // The complete state as text, for logging and for comparing states.
    std::string describe() const;

private:
    void onRead(const TableAnswer&);

    std::string m_key;
    BookingRow m_row;
    // The version of this attempt's row; std::nullopt until it has been read.
    std::optional<RowVersion> m_version;
    bool m_done = false;
};

} // namespace almondscale
