#include "Http/ErrorResponse.h"

#include "Core/ErrorInfo.h"
#include "Http/JsonBuilder.h"

#include <algorithm>

namespace almondscale {

HttpResponse errorResponse(ErrorKind kind, const std::string& detail, Nanoseconds retryAfter)
{
    const ErrorInfo& info = errorInfo(kind);
    JsonBuilder body;
    body.beginObject("error")
        .text("kind", info.name)
        .text("message", detail.empty() ? info.message : detail)
        .text("run", info.execution == ExecutionStatus::NotRun ? "no" : "unknown")
        .endObject();

    HttpResponse response;
    response.status = info.httpStatus;
    response.body = body.finish();
    if (info.retryable) {
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(retryAfter).count();
        response.headers["retry-after"] = std::to_string(std::max<long>(1, seconds));
    }
    return response;
}

} // namespace almondscale
