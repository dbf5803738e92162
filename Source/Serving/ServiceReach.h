#pragma once

#include "Core/DataCentre.h"
#include "Serving/BackendTable.h"

#include <vector>

namespace almondscale {

// Tells when the callers of this data centre are better served by another one. It
// answers a data centre that is cut off and has no server of its own for a service:
// what would be refused here is served where the balancer sends it next.
class ServiceReach {
public:
    ServiceReach(const BackendTable&, DataCentre);

    // Servers of other data centres, none of which can be reached, although their
    // service has none here; empty while each service has a server in reach. Hosts beside
    // those servers never miss them, so that some data centre goes on taking callers.
    std::vector<const Backend*> missing() const;

private:
    const BackendTable& m_backends;
    DataCentre m_dataCentre;
};

} // namespace almondscale
