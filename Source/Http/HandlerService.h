#pragma once

#include "Http/BodyTimeoutMonitor.h"
#include "Http/HttpHandler.h"
#include "Http/HttpLimits.h"

#include <cxxtools/http/service.h>

namespace almondscale {

// Passes all requests of a cxxtools server to one handler.
class HandlerService : public cxxtools::http::Service {
public:
    HandlerService(HttpHandler handler, const HttpLimits& limits)
        : m_handler(std::move(handler))
        , m_limits(limits)
    {
    }

    const HttpHandler& handler() const { return m_handler; }
    const HttpLimits& limits() const { return m_limits; }
    BodyTimeoutMonitor& bodyTimeoutMonitor() { return m_bodyTimeoutMonitor; }

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override;
    void releaseResponder(cxxtools::http::Responder* responder) override;

private:
    HttpHandler m_handler;
    HttpLimits m_limits;
    BodyTimeoutMonitor m_bodyTimeoutMonitor;
};

} // namespace almondscale
