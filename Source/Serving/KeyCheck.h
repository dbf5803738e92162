#pragma once

#include "Core/ErrorKind.h"
#include "Serving/CallerRequest.h"
#include "Serving/KeyTrust.h"
#include "Serving/Organisations.h"
#include "Serving/Route.h"

namespace almondscale {

// Identifies the caller by its key and sets the organisation and the priority of the request. Returns None if
// the request may run, Unauthorised if its key is wrong, and ManifestTooOld if this host cannot tell. The
// organisations are those of the manifest in force, null if callers have no keys.
ErrorKind checkKey(CallerRequest&, const Route&, const Organisations*, KeyTrust);

} // namespace almondscale
