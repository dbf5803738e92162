#pragma once

#include "Http/CallResult.h"
#include "Http/HttpCall.h"

namespace almondscale {

// Sends the call on a new connection and reads the complete response. Never resends, so it is safe for
// requests that are not idempotent.
CallResult callOnce(const HttpCall&);

} // namespace almondscale
