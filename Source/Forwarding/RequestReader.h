#pragma once

#include "Core/ErrorKind.h"
#include "Serving/HttpHeads.h"
#include "Serving/Manifest.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace almondscale {

// A whole request as it came over a connection.
struct ReceivedRequest {
    HttpRequestHead head;
    std::string body;
    bool keepAlive = true;
};

// Reads requests out of the bytes that a caller sent. What two servers could
// understand in two ways is refused, so that nothing hides inside a request.
class RequestReader {
public:
    explicit RequestReader(const CallerLimits&);
    ~RequestReader();

    enum class State {
        // More bytes are needed.
        Partial,
        Complete,
        // The connection cannot go on; error() says why.
        Invalid,
    };

    // Consumes bytes from the buffer.
    State read(boost::beast::flat_buffer&);
    ErrorKind error() const;
    // Bytes of the request have arrived.
    bool started() const;
    // The head has arrived and the caller waits for a word before it sends the body.
    bool expectsContinue() const;
    // Whether the head has arrived.
    bool isHeadComplete() const;
    // Bytes of the body so far.
    std::size_t bodyBytes() const;
    // The request; to be called once, when it is whole.
    ReceivedRequest take();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
