#pragma once

#include "Bookings/BookingClaimResult.h"
#include "Bookings/BookingHolder.h"
#include "Bookings/BookingRequest.h"
#include "Platform/Table.h"

#include <cstddef>
#include <memory>

namespace almondscale {

// Makes bookings run at most once, by rows of the platform's table. Any thread may call it.
class BookingRecorder {
public:
    BookingRecorder(Table, HolderLivenessCheck);
    ~BookingRecorder();
    BookingRecorder(const BookingRecorder&) = delete;
    BookingRecorder& operator=(const BookingRecorder&) = delete;

    // Claims the key. The caller sends the call if and only if the kind is Send,
    // and then calls exactly one of the three functions below.
    BookingClaimResult claim(const BookingRequest&, const BookingHolder&);

    // The service answered; the answer is kept for a repeated key.
    void answered(const BookingRequest&, const BookingHolder&, const BookingAnswer&);
    // The call was sent and its answer was lost.
    void lost(const BookingRequest&, const BookingHolder&);
    // It is proved that not a byte of the call was sent; the key is free again.
    void released(const BookingRequest&, const BookingHolder&);

    // Tries again to write the ends that the table did not take; call it once a second.
    void retryOutcomeWrites();
    std::size_t pendingOutcomeWrites() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
