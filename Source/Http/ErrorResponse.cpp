#include "Http/ErrorResponse.h"

#include "Core/ErrorAnswer.h"
#include "Http/JsonBuilder.h"

#include <algorithm>

namespace almondscale {

HttpResponse errorResponse(ErrorKind kind, const std::string& detail, Nanoseconds retryAfter)
{
    const ErrorAnswer& answer = errorAnswer(kind);
    JsonBuilder body;
    body.beginObject("error")
        .text("kind", answer.word)
        .text("message", detail.empty() ? answer.message : detail)
        .text("run", answer.run == RunKnowledge::NotRun ? "no" : "unknown")
        .endObject();

    HttpResponse response;
    response.status = answer.httpStatus;
    response.body = body.finish();
    if (answer.retryable) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(retryAfter).count();
        response.headers["retry-after"] = std::to_string(std::max<long>(1, seconds));
    }
    return response;
}

} // namespace almondscale
