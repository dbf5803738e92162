#pragma once

#include "Bookings/BookingAnswer.h"
#include "Core/ErrorKind.h"

namespace almondscale {

// What to do with a booking after its key was claimed or found claimed.
struct BookingClaimResult {
    enum class Kind {
        // This attempt, and no other, sends the call once.
        Send,
        // The key has been answered before; the answer is handed out again.
        Answered,
        // The error says why nothing is sent, and whether the booking may have run.
        Refused,
    };

    Kind kind = Kind::Refused;
    ErrorKind error = ErrorKind::None;
    BookingAnswer answer;
};

} // namespace almondscale
