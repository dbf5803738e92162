#pragma once

#include "Core/ErrorKind.h"
#include "Serving/HttpHeads.h"
#include "Serving/Manifest.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace almondscale {

// A complete request as received on a connection.
struct ReceivedRequest {
    HttpRequestHead head;
    std::string body;
    bool keepAlive = true;
};

// Incremental parser of HTTP/1.1 requests. Rejects ambiguous framing, which two servers could
// interpret differently (request smuggling).
class RequestReader {
public:
    explicit RequestReader(const CallerLimits&);
    ~RequestReader();

    enum class State {
        // More bytes are needed.
        Partial,
        Complete,
        // The request is malformed or over a limit, see error(); the connection must be closed.
        Invalid,
    };

    // Parses and consumes bytes of the buffer, up to the end of the request.
    State read(boost::beast::flat_buffer&);
    ErrorKind error() const;
    // Whether any byte of the request was parsed.
    bool started() const;
    // Whether the caller sent Expect: 100-continue and the body is still missing.
    bool expectsContinue() const;
    bool isHeadComplete() const;
    // Memory held for the request so far, including the copies of its head that forwarding makes.
    std::size_t heldBytes() const;
    // How much the memory for the body grows if it gets the bytes.
    std::size_t growthFor(std::size_t bytes) const;
    // How many bytes of the body are still to come: the announced ones, or up to the limit if there are
    // chunks.
    std::size_t remainingBytes() const;
    // Moves the request out. Call once, in State::Complete.
    ReceivedRequest take();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
