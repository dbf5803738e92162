#pragma once

#include "Core/Deadline.h"
#include "Http/CallFailure.h"
#include "Http/HttpCall.h"
#include "Http/HttpResponse.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <exception>
#include <optional>

namespace almondscale {

// Conversions that HttpClient and HttpStream share; not part of the public interface.
cxxtools::http::Request toCxxtoolsRequest(const HttpCall&);
// Unset if the status is not one of a final response.
std::optional<HttpResponse> responseHead(const cxxtools::http::ReplyHeader&);

// Tells from the exception of a failed call whether the server may have received it.
CallFailure classifyFailure(const std::exception&);

// The time until the deadline, from one millisecond to one hour.
cxxtools::Milliseconds timeUntil(Deadline);

} // namespace almondscale
