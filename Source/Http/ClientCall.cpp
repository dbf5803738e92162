#include "Http/ClientCall.h"

#include "Http/LowerCase.h"

#include <cxxtools/http/replyheader.h>

#include <algorithm>
#include <cstring>

namespace almondscale {

namespace {

    // The library gives no type of its own to a failed connect, only this beginning of its text.
    // Any other text is taken for a call that may have been sent.
    constexpr const char* connectFailure = "while trying to connect to host";

} // namespace

cxxtools::http::Request libraryRequest(const HttpCall& call)
{
    cxxtools::http::Request request(call.path);
    request.method(call.method);
    for (const auto& [name, value] : call.headers)
        request.setHeader(name.c_str(), value.c_str());
    request.body() << call.body;
    return request;
}

HttpResponse responseHead(const cxxtools::http::ReplyHeader& header)
{
    HttpResponse response;
    response.status = static_cast<int>(header.httpReturnCode());
    for (const auto& [name, value] : header)
        response.headers[lowerCase(name)] = value;
    const auto type = response.headers.find("content-type");
    if (type != response.headers.end())
        response.contentType = type->second;
    return response;
}

CallFailure classifyFailure(const std::exception& error)
{
    const bool refused = std::strncmp(error.what(), connectFailure, std::strlen(connectFailure)) == 0;
    return refused ? CallFailure::NotSent : CallFailure::AnswerLost;
}

cxxtools::Milliseconds timeUntil(Deadline deadline)
{
    const auto left = std::chrono::duration<double, std::milli>(deadline.remaining(monotonicClock()()));
    // The library reads a zero as "do not wait" and a huge value overflows its arithmetic.
    constexpr double longestMs = 3600e3;
    return cxxtools::Milliseconds(std::clamp(left.count(), 1.0, longestMs));
}

} // namespace almondscale
