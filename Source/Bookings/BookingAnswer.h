#pragma once

#include <string>

namespace almondscale {

// The answer of a service to a booking, as it is kept for a repeated key.
struct BookingAnswer {
    int status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const BookingAnswer& a, const BookingAnswer& b)
    {
        return a.status == b.status && a.contentType == b.contentType && a.body == b.body;
    }
};

} // namespace almondscale
