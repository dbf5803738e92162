#include "Http/ClientCall.h"

#include "Http/LowerCase.h"

#include <cxxtools/http/replyheader.h>

#include <algorithm>
#include <cstring>

namespace almondscale {

namespace {

    // cxxtools has no exception type for a failed connect; only the start of the message tells it apart.
    // With any other message the call may have been sent.
    constexpr const char* connectFailurePrefix = "while trying to connect to host";

    constexpr int firstFinalStatus = 200;
    constexpr int lastStatus = 599;

} // namespace

cxxtools::http::Request toCxxtoolsRequest(const HttpCall& call)
{
    cxxtools::http::Request request(call.path);
    request.method(call.method);
    for (const auto& [name, value] : call.headers)
        request.setHeader(name.c_str(), value.c_str());
    request.body() << call.body;
    return request;
}

std::optional<HttpResponse> responseHead(const cxxtools::http::ReplyHeader& header)
{
    HttpResponse response;
    response.status = static_cast<int>(header.httpReturnCode());
    if (response.status < firstFinalStatus || response.status > lastStatus)
        return std::nullopt;
    for (const auto& [name, value] : header)
        response.headers[lowerCase(name)] = value;
    const auto type = response.headers.find("content-type");
    if (type != response.headers.end())
        response.contentType = type->second;
    return response;
}

CallFailure classifyFailure(const std::exception& error)
{
    const bool notConnected
        = std::strncmp(error.what(), connectFailurePrefix, std::strlen(connectFailurePrefix)) == 0;
    return notConnected ? CallFailure::NotSent : CallFailure::AnswerLost;
}

cxxtools::Milliseconds timeUntil(Deadline deadline)
{
    const auto left = std::chrono::duration<double, std::milli>(deadline.remaining(monotonicClock()()));
    // cxxtools takes 0 as "do not wait", and its arithmetic overflows with very large values.
    constexpr double maxTimeoutMs = 3600e3;
    return cxxtools::Milliseconds(std::clamp(left.count(), 1.0, maxTimeoutMs));
}

} // namespace almondscale
