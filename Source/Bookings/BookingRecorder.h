#pragma once

#include "Bookings/BookingClaimResult.h"
#include "Bookings/BookingHolder.h"
#include "Bookings/BookingRequest.h"
#include "Platform/Table.h"

#include <cstddef>
#include <memory>

namespace almondscale {

// Makes bookings run at most once, using rows in the platform's table. Thread-safe; calls wait for
// the table.
class BookingRecorder {
public:
    BookingRecorder(Table, HolderLivenessCheck);
    ~BookingRecorder();
    BookingRecorder(const BookingRecorder&) = delete;
    BookingRecorder& operator=(const BookingRecorder&) = delete;

    // Claims the key. The caller must send the call if and only if the kind is Send, and must then
    // call exactly one of answered(), lost() and released().
    BookingClaimResult claim(const BookingRequest&, const BookingHolder&);

    // The service answered; the answer is stored and replayed for a repeated key.
    void answered(const BookingRequest&, const BookingHolder&, const BookingAnswer&);
    // The call may have run: it was sent, but no answer was received.
    void lost(const BookingRequest&, const BookingHolder&);
    // Not a byte of the call was sent; the key can be claimed again.
    void released(const BookingRequest&, const BookingHolder&);

    // Retries outcome writes that the table did not confirm. Call it once a second.
    void retryOutcomeWrites();
    std::size_t pendingOutcomeWrites() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
