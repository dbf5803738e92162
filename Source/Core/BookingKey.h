#pragma once

#include "Core/Identifier.h"

namespace almondscale {

// The idempotency key of a booking.
using BookingKey = Identifier<struct BookingKeyTag>;

} // namespace almondscale
