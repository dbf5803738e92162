#pragma once

#include "Core/Organisation.h"
#include "Http/HttpRequest.h"

namespace almondscale {

// The organisation that a request's header names; requests without one share a name.
Organisation callerOrganisation(const HttpRequest&);

} // namespace almondscale
