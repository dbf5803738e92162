#pragma once

#include "Core/Deadline.h"
#include "Http/CallResult.h"
#include "Http/HttpCall.h"

#include <memory>
#include <string>

namespace almondscale {

// An HTTP client that reads the response body line by line as it arrives.
class HttpStream {
public:
    enum class ReadResult {
        Line,
        // No complete line arrived before the deadline; the stream remains readable.
        TimedOut,
        // The response has ended or the connection is lost. The two are not told apart, so the content must
        // mark its own end.
        EndOfStream,
    };

    HttpStream();
    ~HttpStream();
    HttpStream(HttpStream&&) noexcept;
    HttpStream& operator=(HttpStream&&) noexcept;

    // Sends the call and waits for the response header. With status 200 the body is left to readLine();
    // with any other status it is read into the result.
    CallResult open(const HttpCall&);

    // Waits for the next line until the deadline; the line break is removed.
    ReadResult readLine(std::string& line, Deadline);

    // Closes the connection; readLine() then returns EndOfStream.
    void close();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
