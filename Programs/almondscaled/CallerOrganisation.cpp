#include "CallerOrganisation.h"

namespace almondscale {

Organisation callerOrganisation(const HttpRequest& request)
{
    const std::string name = request.header("x-organisation");
    return Organisation(name.empty() ? "anonymous" : name);
}

} // namespace almondscale
