#pragma once

#include "Core/BookingKey.h"
#include "Core/Organisation.h"
#include "Core/ServiceName.h"

#include <cstdint>

namespace almondscale {

// A call that must run at most once per organisation, service and key.
struct BookingRequest {
    Organisation organisation;
    ServiceName service;
    BookingKey key;
    // Hash of the method, path and body. Reusing a key with a different fingerprint is refused.
    std::uint64_t fingerprint = 0;
};

} // namespace almondscale
