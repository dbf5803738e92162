#pragma once

#include "Bookings/BookingAnswer.h"
#include "Core/ErrorKind.h"

namespace almondscale {

// The result of claiming a booking's key.
struct BookingClaimResult {
    enum class Kind {
        // This attempt holds the key and must send the call, once.
        Send,
        // The service has already answered for this key; return the stored answer.
        Answered,
        // Nothing may be sent; the error says why, and whether the booking may have run.
        Refused,
    };

    Kind kind = Kind::Refused;
    ErrorKind error = ErrorKind::None;
    BookingAnswer answer;
};

} // namespace almondscale
