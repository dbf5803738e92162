#pragma once

#include "Forwarding/ResponseWriter.h"
#include "Forwarding/ServingContext.h"

#include <memory>

namespace almondscale {

// Takes one request of a caller from its arrival to its final answer: chooses
// backend servers, sends it, and goes elsewhere where that is allowed.
class RequestForwarder : public std::enable_shared_from_this<RequestForwarder> {
public:
    RequestForwarder(ServingContext&, CallerRequest, std::shared_ptr<const Route>, ResponseWriter);
    ~RequestForwarder();

    awaitable<void> run();
    // The caller has left: the work at the backend server ends.
    void abandon();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace almondscale
