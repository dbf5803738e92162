#pragma once

#include "Core/Deadline.h"
#include "Http/CallResult.h"
#include "Http/HttpCall.h"

#include <memory>
#include <string>

namespace almondscale {

// Reads an answer line by line as it arrives.
class HttpStream {
public:
    enum class Read {
        Line,
        // Nothing came before the given instant; reading may go on.
        Silent,
        // No more will come. A truncated answer ends like a whole one, so the lines themselves must
        // tell whether the answer is whole.
        Ended,
    };

    HttpStream();
    ~HttpStream();
    HttpStream(HttpStream&&) noexcept;
    HttpStream& operator=(HttpStream&&) noexcept;

    // Sends the call and waits for the header of the answer; the body is empty for status 200.
    CallResult open(const HttpCall&);

    // Waits for the next line until the deadline.
    Read readLine(std::string& line, Deadline);

    // Ends the connection.
    void close();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace almondscale
