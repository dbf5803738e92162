#pragma once

#include "Bookings/BookingAnswer.h"
#include "Bookings/BookingHolder.h"
#include "Bookings/BookingRequest.h"

#include <optional>
#include <string>

namespace almondscale {

// Progress of the attempt that the row belongs to.
enum class BookingState {
    // The attempt holds the key and has not sent the call.
    Recorded,
    // The attempt may have sent the call.
    Sent,
    // The service answered; the row stores the answer.
    Answered,
    // The call was sent and its answer was lost. Final: whether it ran stays unknown.
    Lost,
    // The attempt's host established that nothing was sent and released the key.
    Released,
};

const char* bookingStateWord(BookingState);
std::optional<BookingState> parseBookingState(const std::string&);

// The table row of one booking.
struct BookingRow {
    BookingState state = BookingState::Recorded;
    BookingHolder holder;
    std::uint64_t fingerprint = 0;
    BookingAnswer answer;
};

// Key prefix of all booking rows.
constexpr const char* bookingRowPrefix = "booking/";

std::string bookingRowKey(const BookingRequest&);
std::string encodeBookingRow(const BookingRow&);
// Returns std::nullopt if the text is not a valid booking row.
std::optional<BookingRow> decodeBookingRow(const std::string&);

} // namespace almondscale
