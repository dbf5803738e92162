#pragma once

#include "Dispatch/Fingerprint.h"
#include "Serving/CallerRequest.h"

namespace almondscale {

// Fingerprint of what the request asks of a backend server. Equal when the caller repeats the request with
// another id or timeout.
Fingerprint contentOf(const CallerRequest&);

// The text form used in logs, status pages and rows of the store.
std::string contentText(Fingerprint);
std::optional<Fingerprint> parseContent(const std::string&);

} // namespace almondscale
