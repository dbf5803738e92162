#include "Http/HttpClient.h"

#include "Http/ClientCall.h"

namespace almondscale {

CallResult callOnce(const HttpCall& call)
{
    CallResult result;
    if (call.deadline.passed(monotonicClock()())) {
        result.failure = CallFailure::NotSent;
        return result;
    }
    try {
        // cxxtools resends the request when a connection that was open before execute() is lost.
        cxxtools::http::Client client(call.to.ip, call.to.port);
        const cxxtools::http::ReplyHeader& header
            = client.execute(toCxxtoolsRequest(call), timeUntil(call.deadline));
        auto response = responseHead(header);
        if (!response)
            return result;
        client.readBody();
        response->body = client.body();
        result.response = std::move(response);
    } catch (const std::exception& error) {
        result.failure = classifyFailure(error);
    }
    return result;
}

} // namespace almondscale
