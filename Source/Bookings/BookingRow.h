#pragma once

#include "Bookings/BookingAnswer.h"
#include "Bookings/BookingHolder.h"
#include "Bookings/BookingRequest.h"

#include <optional>
#include <string>

namespace almondscale {

// How far the attempt in the row got.
enum class BookingState {
    // The attempt owns the key and has not sent anything.
    Recorded,
    // The attempt may have sent the call.
    Sent,
    // The service answered; the answer is in the row.
    Answered,
    // The call was sent and its answer was lost for good.
    Lost,
    // The attempt's own host proved that nothing was sent and gave the key up.
    Released,
};

const char* bookingStateWord(BookingState);
std::optional<BookingState> parseBookingState(const std::string&);

// The row of one booking in the table.
struct BookingRow {
    BookingState state = BookingState::Recorded;
    BookingHolder holder;
    std::uint64_t fingerprint = 0;
    BookingAnswer answer;
};

// All rows of bookings begin so.
constexpr const char* bookingRowPrefix = "booking/";

std::string bookingRowKey(const BookingRequest&);
std::string encodeBookingRow(const BookingRow&);
std::optional<BookingRow> decodeBookingRow(const std::string&);

} // namespace almondscale
