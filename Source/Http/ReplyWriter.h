#pragma once

#include "Http/HttpResponse.h"

#include <functional>

namespace almondscale {

// The two ways in which a handler answers: whole, or as a stream.
struct ReplyWriter {
    // Answers whole; to be called once, and not after beginStream.
    std::function<void(const HttpResponse&)> send;

    // Starts a streamed answer; the body of the response is its first piece.
    std::function<bool(const HttpResponse&)> beginStream;

    // Sends a piece of a streamed answer at once; false if the caller is gone.
    std::function<bool(const std::string&)> write;

    // Whether the caller has closed its connection.
    std::function<bool()> callerGone;
};

} // namespace almondscale
