#pragma once

#include "Forwarding/ResponseWriter.h"
#include "Forwarding/ServingContext.h"

#include <memory>

namespace almondscale {

// Forwards one request of a caller: selects backend servers, sends the request, retries on
// another server where the route allows it, and delivers the response.
class RequestForwarder : public std::enable_shared_from_this<RequestForwarder> {
public:
    RequestForwarder(ServingContext&, CallerRequest, std::shared_ptr<const Route>, ResponseWriter);
    ~RequestForwarder();

    awaitable<void> run();
    // Cancels the request after the caller has disconnected.
    void cancel();
    // Fails the request unless it has ended by then, and tells the caller whether it may have run.
    void endBy(Deadline);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
