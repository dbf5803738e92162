#include "Serving/KeyCheck.h"

namespace almondscale {

ErrorKind checkKey(
    CallerRequest& request, const Route& route, const Organisations* organisations, KeyTrust trust)
{
    request.organisation = {};
    request.priority.reset();
    if (!organisations)
        return ErrorKind::None;
    // The request was decoded under a manifest without organisations, so its key is still in the header.
    if (!request.keyDecoded)
        return ErrorKind::ManifestTooOld;
    if (!request.key && !request.keyMalformed && route.allowAnonymous)
        return ErrorKind::None;
    if (!trust.serves)
        return ErrorKind::ManifestTooOld;
    const auto* organisation = request.key ? organisations->find(*request.key) : nullptr;
    // A caller does not repeat a request that got 401.
    if (!organisation)
        return trust.denies ? ErrorKind::Unauthorised : ErrorKind::ManifestTooOld;
    request.organisation = organisation->name;
    request.priority = organisation->priority;
    return ErrorKind::None;
}

} // namespace almondscale
