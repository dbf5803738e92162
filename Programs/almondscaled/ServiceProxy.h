#pragma once

#include "Bookings/BookingRecorder.h"
#include "HostContext.h"
#include "Http/HttpHandler.h"
#include "Platform/Table.h"

namespace almondscale {

// Passes calls on to the plain services; calls that may not be repeated are recorded first.
class ServiceProxy {
public:
    ServiceProxy(HostContext&, Incarnation, Table, HolderLivenessCheck);

    // Serves a path below /services/.
    void serve(const HttpRequest&, ReplyWriter&);

    // Writes the ends of bookings that the table did not take before; call it once a second.
    void retryClosings() { m_recorder.retryOutcomeWrites(); }

private:
    void passOn(const HttpRequest&, const ServiceRule&, const std::string& path, ReplyWriter&);
    void book(const HttpRequest&, const ServiceRule&, const std::string& path, ReplyWriter&);
    void send(const HttpRequest&, const ServiceRule&, const std::string& path, const BookingRequest&,
        const BookingHolder&, ReplyWriter&);
    void refuse(const BookingRequest&, ErrorKind, ReplyWriter&);
    BookingRequest bookingRequest(const HttpRequest&, const ServiceRule&, const std::string& path);

    HostContext& m_context;
    Incarnation m_incarnation;
    BookingRecorder m_recorder;
};

} // namespace almondscale
