#include "Forwarding/ServingContext.h"

namespace almondscale {

ManifestState ServingContext::manifestNow() const
{
    if (manifestState)
        return manifestState();
    ManifestState state;
    state.version = routes.version();
    return state;
}

void noteDecision(const ServingContext& context, const ManifestState& manifest, const char* decision)
{
    if (manifest.isOutdated() && context.onOutdatedDecision)
        context.onOutdatedDecision(decision);
}

LogEvent& addManifest(LogEvent& event, const ManifestState& manifest)
{
    return event.with("manifest", manifest.version)
        .with("manifest_age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(manifest.age).count())
        .with("manifest_from", copyOriginName(manifest.origin))
        .with("manifest_bound_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(manifest.bound).count());
}

ErrorKind authenticate(ServingContext& context, CallerRequest& request, const Route& route)
{
    const auto trust = context.keyTrust ? context.keyTrust() : KeyTrust();
    const auto refusal = checkKey(request, route, context.routes.organisations(), trust);
    if (refusal != ErrorKind::None && context.onKeyRefusal)
        context.onKeyRefusal(refusal);
    return refusal;
}

} // namespace almondscale
