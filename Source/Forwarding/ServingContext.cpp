#include "Forwarding/ServingContext.h"

namespace almondscale {

ErrorKind authenticate(ServingContext& context, CallerRequest& request, const Route& route)
{
    const auto trust = context.keyTrust ? context.keyTrust() : KeyTrust();
    const auto refusal = checkKey(request, route, context.routes.organisations(), trust);
    if (refusal != ErrorKind::None && context.onKeyRefusal)
        context.onKeyRefusal(refusal);
    return refusal;
}

} // namespace almondscale
