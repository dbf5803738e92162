#pragma once

#include "Http/CallResult.h"
#include "Http/HttpCall.h"

namespace almondscale {

// Sends the call once on a connection of its own and reads the whole answer.
// The call is never sent a second time, so it is safe for calls that may not be repeated.
CallResult callOnce(const HttpCall&);

} // namespace almondscale
