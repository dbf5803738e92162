#pragma once

#include "Dispatch/Fingerprint.h"
#include "Serving/CallerRequest.h"

namespace almondscale {

// Stands for what the request asks of a backend server. It stays the same when the
// caller sends the request again, under whatever id and with whatever time left.
Fingerprint contentOf(const CallerRequest&);

// As it stands in logs, pages and rows of the store.
std::string contentText(Fingerprint);
std::optional<Fingerprint> parseContent(const std::string&);

} // namespace almondscale
