#pragma once

#include "Core/Deadline.h"
#include "Http/CallFailure.h"
#include "Http/HttpCall.h"
#include "Http/HttpResponse.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include <exception>

namespace almondscale {

// The parts of a call that whole and streamed answers share; private to the library.
cxxtools::http::Request libraryRequest(const HttpCall&);
HttpResponse responseHead(const cxxtools::http::ReplyHeader&);

// What the exception of a failed call proves.
CallFailure classifyFailure(const std::exception&);

// The time until the deadline, at least one millisecond.
cxxtools::Milliseconds timeUntil(Deadline);

} // namespace almondscale
