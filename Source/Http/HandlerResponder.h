#pragma once

#include "Core/ErrorKind.h"
#include "Http/HttpRequest.h"
#include "Http/HttpResponse.h"

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/net/tcpsocket.h>

#include <string>

namespace almondscale {

class HandlerService;

// Adapts one cxxtools request to the HttpHandler and sends its response.
class HandlerResponder : public cxxtools::http::Responder {
public:
    explicit HandlerResponder(HandlerService&);
    ~HandlerResponder() override;
    HandlerResponder(const HandlerResponder&) = delete;
    HandlerResponder& operator=(const HandlerResponder&) = delete;

    void beginRequest(cxxtools::net::TcpSocket&, std::istream&, cxxtools::http::Request&) override;
    std::size_t readBody(std::istream&) override;
    void reply(std::ostream&, cxxtools::http::Request&, cxxtools::http::Reply&) override;
    void replyError(
        std::ostream&, cxxtools::http::Request&, cxxtools::http::Reply&, const std::exception&) override;

private:
    // Cancels the body timeout; false if it has expired and the request has been rejected.
    bool cancelBodyTimeout();
    HttpRequest toHttpRequest(cxxtools::http::Request&) const;
    void sendResponse(const HttpResponse&, std::ostream&, cxxtools::http::Reply&) const;

    HandlerService& m_service;
    cxxtools::net::TcpSocket* m_socket = nullptr;
    std::string m_body;
    std::size_t m_contentLength = 0;
    bool m_bodyTimeoutActive = false;
    ErrorKind m_rejection = ErrorKind::None;
};

} // namespace almondscale
