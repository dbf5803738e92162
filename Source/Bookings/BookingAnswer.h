#pragma once

#include <string>

namespace almondscale {

// A service's response to a booking, stored so that it can be replayed for a repeated key.
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
