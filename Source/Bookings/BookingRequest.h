#pragma once

#include "Core/BookingKey.h"
#include "Core/Organisation.h"
#include "Core/ServiceName.h"

#include <cstdint>

namespace almondscale {

// A call that must run at most once for its organisation, service and key.
struct BookingRequest {
    Organisation organisation;
    ServiceName service;
    BookingKey key;
    // A hash of the method, the path and the body; one key stands for one such call.
    std::uint64_t fingerprint = 0;
};

} // namespace almondscale
